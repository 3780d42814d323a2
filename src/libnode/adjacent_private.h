/*
 * State of the adjacent side, shared by adjacent.c (requests),
 * adjacent_config.c (configuration, health and hosts that leave) and
 * adjacent_warmup.c (cold backend servers).
 */
#ifndef BB_NODE_ADJACENT_PRIVATE_H
#define BB_NODE_ADJACENT_PRIVATE_H

#include "baobabward/breaker.h"
#include "baobabward/cost.h"
#include "baobabward/queue.h"
#include "baobabward/warmup.h"
#include "libnode/adjacent.h"
#include "libnode/executor.h"

/**
 * struct adjacent_backend - a backend server beside this node.
 * @slots: configured limit on concurrent requests
 * @max_connections: limit on connections to it
 * @state: state in the configuration
 * @admit: health admits requests to it
 * @avoid_until_us: until when health asks entry nodes to avoid it
 * @weight: share of @slots in use, below 1 after a readmission
 * @queue: requests that wait for a slot or run
 * @wake_timer: starts queued requests later, when the queue asks for it
 * @idle_connections: connections that libcurl keeps open for reuse
 * @breaker: circuit breaker
 * @cost: its speed and the spread of the times of its requests
 * @last_answer_us: when it last answered without a server error
 * @started_ms: when it started, by the configuration
 * @said_leaving: it said in an answer that it is leaving
 * @evacuated: its availability zone is evacuated
 * @named_limit_per_s: limit on the rate of its requests that it named, negative
 *                     for none
 * @warmup: whether it is cold
 * @warmup_check: health check in progress that is to tell, NULL if there is none
 * @receiving: requests whose body is being read from another node
 * @logged_cold: the last event in the log said that it is cold
 * @configured: the current snapshot has it beside this node
 */
struct adjacent_backend {
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
	GSource *wake_timer;
	uint32_t idle_connections;
	struct bb_breaker breaker;
	struct bb_server_cost cost;
	int64_t last_answer_us;
	double started_ms;
	bool said_leaving;
	bool evacuated;
	double named_limit_per_s;
	struct bb_warmup warmup;
	struct bb_execution *warmup_check;
	unsigned int receiving;
	bool logged_cold;
	bool configured;
};

/**
 * struct bb_adjacent - adjacent side of a node.
 * @o: options
 * @backends: struct adjacent_backend by name
 * @jobs: struct bb_job of each request queued or running, by request id
 * @refused_jobs: jobs that a queue refused and whose RESULT is not sent yet
 * @seen_ids: ids of requests received or cancelled, until their deadline
 * @expire_timer: refuses queued requests that are too late and forgets old ids
 * @draining: this node is stopping and refuses new requests
 * @host_leaving: the platform is removing this host
 */
struct bb_adjacent {
	struct bb_adjacent_options o;
	struct bb_executor *executor;
	struct bb_snapshot *snapshot;
	GHashTable *backends;
	GHashTable *jobs;
	GQueue refused_jobs;
	struct bb_request_id_set *seen_ids;
	GSource *expire_timer;
	bool draining;
	bool host_leaving;
};

/* adjacent.c */

/**
 * bb_adjacent_queue_refused() - callback of a queue that refuses an entry.
 * @data: adjacent side
 * @e: entry that was removed from the queue
 * @reason: why it was refused
 */
void bb_adjacent_queue_refused(void *data, struct bb_queue_entry *e,
			       enum bb_reason reason);

/**
 * bb_adjacent_reply_refused() - send the RESULT of all jobs that the queues
 * refused.
 */
void bb_adjacent_reply_refused(struct bb_adjacent *a);

/**
 * bb_adjacent_start_queued() - start queued requests that have a slot.
 */
void bb_adjacent_start_queued(struct adjacent_backend *b);

/* adjacent_config.c */

/**
 * bb_adjacent_record() - what a backend server said of itself.
 *
 * Return: record, NULL if backend servers say nothing.
 */
struct bb_notice_record *bb_adjacent_record(const struct adjacent_backend *b,
					    int64_t now_us);

/**
 * bb_adjacent_is_leaving() - whether a backend server accepts no new requests
 * because of its state in the configuration, because it said so, or because its
 * host is leaving or its availability zone is evacuated.
 */
bool bb_adjacent_is_leaving(const struct adjacent_backend *b);

/**
 * bb_adjacent_apply_notices() - act on what a backend server said of itself.
 * @b: the backend server
 * @r: what it said, NULL for nothing
 * @now_us: current time
 *
 * Requests that wait for one that is leaving are refused without a RESULT, see
 * bb_adjacent_reply_refused().
 */
void bb_adjacent_apply_notices(struct adjacent_backend *b,
			       const struct bb_notice_record *r,
			       int64_t now_us);

/* adjacent_warmup.c */

/**
 * bb_adjacent_apply_rate() - set the pace of a backend server's requests: the
 * lower one of the limit that it named and the rate that it takes while it is
 * cold.
 */
void bb_adjacent_apply_rate(struct adjacent_backend *b, int64_t now_us);

/**
 * bb_adjacent_configure_warmup() - apply what a configuration tells of cold times
 * and of evacuation.
 * @b: the backend server
 * @c: the configuration
 * @row: row of the backend server
 * @started: it, or this node, has started since the configuration before
 * @now_us: current time
 */
void bb_adjacent_configure_warmup(struct adjacent_backend *b,
				  const struct bb_config *c,
				  const struct bb_backend *row, bool started,
				  int64_t now_us);

/**
 * bb_adjacent_note_answer() - apply what the end of a request tells of a cold
 * time.
 * @b: backend server, still of the start that the request was sent to
 * @r: how the request ended
 * @sent_us: when it was sent
 */
void bb_adjacent_note_answer(struct adjacent_backend *b,
			     const struct bb_execution_result *r,
			     int64_t sent_us);

/**
 * bb_adjacent_tick_warmup() - set the present rate, and send a health check if
 * one is due.
 */
void bb_adjacent_tick_warmup(struct adjacent_backend *b, int64_t now_us);

/**
 * bb_adjacent_cancel_check() - end a health check that is in progress.
 */
void bb_adjacent_cancel_check(struct adjacent_backend *b);

#endif
