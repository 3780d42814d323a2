/*
 * Set of the request ids that an adjacent node has received. A request that
 * arrives twice, or after its cancellation, is found in it and does not run.
 */
#ifndef BB_NODE_REQUEST_ID_SET_H
#define BB_NODE_REQUEST_ID_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/wire.h"

/* Hash and comparison of struct bb_request_id for GHashTable. */
guint bb_request_id_hash(gconstpointer key);
gboolean bb_request_id_equal(gconstpointer a, gconstpointer b);

struct bb_request_id_set;

struct bb_request_id_set *bb_request_id_set_new(void);

/**
 * bb_request_id_set_add() - add an id.
 * @s: set
 * @id: request id
 * @until_us: the request cannot start after this time, so the id may be
 *	      removed then
 *
 * Return: false if the id was in the set already.
 */
bool bb_request_id_set_add(struct bb_request_id_set *s,
			   const struct bb_request_id *id, int64_t until_us);

/**
 * bb_request_id_set_contains() - whether an id is in the set.
 */
bool bb_request_id_set_contains(const struct bb_request_id_set *s,
				const struct bb_request_id *id);

/**
 * bb_request_id_set_expire() - remove the ids whose time has passed.
 */
void bb_request_id_set_expire(struct bb_request_id_set *s, int64_t now_us);

/**
 * bb_request_id_set_size() - number of ids in the set.
 */
size_t bb_request_id_set_size(const struct bb_request_id_set *s);

void bb_request_id_set_delete(struct bb_request_id_set *s);

#endif
