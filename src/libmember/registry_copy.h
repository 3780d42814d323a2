/*
 * Copy of a registry: the latest revision of each item, in the order of the
 * revisions, and of each removal for some time.
 */
#ifndef BB_REGISTRY_COPY_H
#define BB_REGISTRY_COPY_H

#include <glib.h>

#include "baobabward/wire.h"

struct bb_registry_copy;

struct bb_registry_copy *bb_registry_copy_new(void);
void bb_registry_copy_delete(struct bb_registry_copy *c);

/**
 * bb_registry_copy_clear() - forget everything.
 */
void bb_registry_copy_clear(struct bb_registry_copy *c);

/**
 * bb_registry_copy_put() - note an item or its removal; ignored if a later
 * revision of it is known.
 * @c: copy
 * @item: copied
 * @now_us: current time
 */
void bb_registry_copy_put(struct bb_registry_copy *c,
			  const struct bb_registry_item *item, int64_t now_us);

/**
 * bb_registry_copy_begin_list() - a complete list follows.
 */
void bb_registry_copy_begin_list(struct bb_registry_copy *c);

/**
 * bb_registry_copy_end_list() - items that were not put since the list began
 * were removed, at the latest at @revision.
 */
void bb_registry_copy_end_list(struct bb_registry_copy *c, uint64_t revision,
			       int64_t now_us);

/**
 * bb_registry_copy_expire() - drop removals that were noted long ago.
 */
void bb_registry_copy_expire(struct bb_registry_copy *c, int64_t now_us);

/**
 * bb_registry_copy_since() - list what changed after a revision.
 * @c: copy
 * @after: revision
 * @items: filled in; refers to the copy
 * @max: capacity of @items
 * @max_bytes: limit on the sum of the keys and values
 * @nr: set to the number of items
 *
 * Return: false if removals after @after may have been dropped, or if there is
 * more than fits.
 */
bool bb_registry_copy_since(const struct bb_registry_copy *c, uint64_t after,
			    struct bb_registry_item *items, size_t max,
			    size_t max_bytes, size_t *nr);

#endif
