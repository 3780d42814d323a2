/*
 * Request ids that an adjacent node has received, so that a request which
 * arrives twice, or after its cancellation, does not run.
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
 * bb_request_id_set_add() - remember an id.
 * @s: table
 * @id: request id
 * @until_us: the request cannot start after this time, so the id may be
 *            forgotten
 *
 * Return: false if the id was remembered already.
 */
bool bb_request_id_set_add(struct bb_request_id_set *s,
			   const struct bb_request_id *id, int64_t until_us);

/**
 * bb_request_id_set_contains() - whether an id is remembered.
 */
bool bb_request_id_set_contains(const struct bb_request_id_set *s,
				const struct bb_request_id *id);

/**
 * bb_request_id_set_expire() - forget ids whose time is over.
 */
void bb_request_id_set_expire(struct bb_request_id_set *s, int64_t now_us);

/**
 * bb_request_id_set_size() - number of ids remembered.
 */
size_t bb_request_id_set_size(const struct bb_request_id_set *s);

void bb_request_id_set_delete(struct bb_request_id_set *s);

#endif
