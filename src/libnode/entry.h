/*
 * The entry node's side of a request, on the traffic thread: choice of the
 * backend server, attempts, deadlines and the verdict for the caller.
 *
 * A caller is told "not run" only when no attempt was handed to the transport
 * or the receiving node, in the incarnation that the attempt was bound to,
 * said so of the last one.
 */
#ifndef BB_NODE_ENTRY_H
#define BB_NODE_ENTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/wire.h"
#include "libnode/adjacent.h"
#include "libnode/call.h"
#include "libnode/control.h"
#include "libnode/session.h"
#include "libnode/snapshot.h"

struct bb_entry;

/**
 * struct bb_entry_options - what the entry side needs.
 * @context: main context of the traffic thread
 * @incarnation: of this node
 * @adjacent: this node's own adjacent side
 * @control: tokens and idempotency records
 * @sessions: other nodes
 * @tracer: takes spans, NULL for none
 * @send: hands a message to the transport; false if it was certainly not sent
 * @connected: whether the transport has a connection to a host
 * @retry_percent: share of first attempts that may be retried
 * @retry_slack: retries beyond that which the whole fleet may save up; 0 to
 *               bound each node alone
 * @slot_searches: backend servers that a call asks for a free slot before it
 *                 waits for one
 * @local_percent: estimated load up to which the own zone goes first, 0 for no
 *                 preference but the penalty of other zones
 * @report_stale_us: age at which a report of load counts half, 0 for the
 *                   default
 * @path_check_us: time without a sign of life after which a host is asked
 *                 before a request is sent to it, 0 for never
 * @keep_path_floor: see bb_balance_filter_paths()
 * @use_reserve: a call that waited in vain may use the account's reserve
 * @draw_wait_us: longest wait for a token of the rate limit
 * @attempt_percent: share of the time left that an attempt of an idempotent
 *                   request may use while another may follow
 * @finished: the call has its answer; it is given back
 * @data: passed to these
 */
struct bb_entry_options {
	GMainContext *context;
	uint64_t incarnation;
	struct bb_adjacent *adjacent;
	struct bb_control *control;
	struct bb_sessions *sessions;
	struct bb_tracer *tracer;
	bool (*send)(void *data, uint32_t host, const struct bb_message *m);
	bool (*connected)(void *data, uint32_t host);
	uint32_t retry_percent;
	uint32_t retry_slack;
	uint32_t slot_searches;
	uint32_t local_percent;
	int64_t report_stale_us;
	int64_t path_check_us;
	bool keep_path_floor;
	bool use_reserve;
	int64_t draw_wait_us;
	uint32_t attempt_percent;
	void (*finished)(void *data, struct bb_call *c);
	void *data;
};

struct bb_entry *bb_entry_new(const struct bb_entry_options *o);

/**
 * bb_entry_configure() - route further attempts by a newer snapshot.
 */
void bb_entry_configure(struct bb_entry *e, struct bb_snapshot *snapshot);

/**
 * bb_entry_submit() - take over a call.
 */
void bb_entry_submit(struct bb_entry *e, struct bb_call *c);

/**
 * bb_entry_result() - a RESULT arrived, from another node or this one.
 */
void bb_entry_result(struct bb_entry *e, const struct bb_message_result *r);

/**
 * bb_entry_welcome() - a session was renewed; starts what waited for it.
 * @e: entry side
 * @host: handle of the other node's host in the snapshot in force
 */
void bb_entry_welcome(struct bb_entry *e, uint32_t host);

/**
 * bb_entry_tokens_arrived() - tokens arrived; calls that wait for one try again.
 */
void bb_entry_tokens_arrived(struct bb_entry *e);

/**
 * bb_entry_record_answered() - answer of the record store, taken over.
 */
void bb_entry_record_answered(struct bb_entry *e, struct bb_record_query *q);

/**
 * bb_entry_host_stopping() - a node told that it takes no more work.
 * @e: entry side
 * @host: handle of its host in the snapshot in force
 *
 * Avoids its paths for a while and forgets its session, since the next node on
 * that host is another incarnation.
 */
void bb_entry_host_stopping(struct bb_entry *e, uint32_t host);

/**
 * bb_entry_set_leaving() - choose no backend servers of these hosts any more.
 * @e: entry side
 * @hosts: set of names, taken over; kept for newer snapshots too
 */
void bb_entry_set_leaving(struct bb_entry *e, GHashTable *hosts);

/**
 * bb_entry_tick() - ask silent nodes whether they answer again, and retry
 * requests that were sent on a connection that is lost.
 */
void bb_entry_tick(struct bb_entry *e, int64_t now_us);

/**
 * bb_entry_calls() - number of calls not yet answered.
 */
unsigned int bb_entry_calls(const struct bb_entry *e);

/**
 * bb_entry_abort() - answer all calls now, with what is certain of each.
 */
void bb_entry_abort(struct bb_entry *e);

void bb_entry_delete(struct bb_entry *e);

#endif
