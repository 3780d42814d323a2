/*
 * State of the adjacent side, shared by its parts: adjacent.c (requests) and
 * adjacent_config.c (configuration, health and leaving).
 */
#ifndef BB_NODE_ADJACENT_PRIVATE_H
#define BB_NODE_ADJACENT_PRIVATE_H

#include "baobabward/breaker.h"
#include "baobabward/queue.h"
#include "libnode/adjacent.h"

struct backend_entry {
	char *name;
	char *url;
	uint32_t slots;
	uint32_t max_connections;
	enum bb_backend_state state;
	bool admit;
	int64_t avoid_until_us;
	double weight;
	struct bb_adjacent *adjacent;
	struct bb_queue *queue;
	GSource *wake;
	uint32_t idle_connections;
	struct bb_breaker breaker;
	int64_t answered_us;
	bool configured;
};

struct bb_adjacent {
	struct bb_adjacent_options o;
	struct bb_executor *executor;
	struct bb_snapshot *snapshot;
	GHashTable *backends;
	GHashTable *jobs;
	GQueue refused;
	struct bb_request_id_set *seen;
	GSource *timer;
	bool draining;
	/* The platform takes this host away. */
	bool leaving;
};

/* adjacent.c */

/**
 * bb_adjacent_refused() - the queue hands an entry back.
 * @data: adjacent side
 * @e: the entry
 * @reason: why
 */
void bb_adjacent_refused(void *data, struct bb_queue_entry *e,
			 enum bb_reason reason);

/**
 * bb_adjacent_answer_refused() - answer what the queues handed back.
 */
void bb_adjacent_answer_refused(struct bb_adjacent *a);

/**
 * bb_adjacent_start_waiting() - start queued requests that have a slot.
 */
void bb_adjacent_start_waiting(struct backend_entry *b);

/* adjacent_config.c */

/**
 * bb_adjacent_is_leaving() - whether a backend server takes no new work by the
 *			      table or because its host is taken away.
 */
bool bb_adjacent_is_leaving(const struct backend_entry *b);

#endif
