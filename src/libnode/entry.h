/*
 * The entry node's side of a request, on the traffic thread: admission, choice
 * of the backend server, attempts, deadlines and the verdict for the caller.
 *
 * A caller gets the verdict "not run" only if no attempt was handed to the
 * transport, or if the receiving node reported "not run" for the last attempt
 * in the incarnation that the attempt was addressed to.
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
#include "libnode/notices.h"
#include "libnode/session.h"
#include "libnode/snapshot.h"

struct bb_entry;

/**
 * struct bb_entry_options - configuration of the entry side.
 * @context: main context of the traffic thread
 * @incarnation: incarnation of this node
 * @adjacent: adjacent side of this node
 * @control: control thread, for rate limit tokens and idempotency records
 * @sessions: sessions with the other nodes
 * @tracer: receives spans, NULL for none
 * @dialect: names of headers, NULL for the default
 * @notices: what backend servers said of themselves, NULL if they say nothing
 * @send: hands a message to the transport; -1 if it was certainly not sent, with
 *        BB_ERROR_INVALID if it is over a limit of messages
 * @is_connected: whether the transport has a connection to a host
 * @retry_percent: retries allowed as a percentage of first attempts
 * @retry_slack: retries beyond @retry_percent that the whole fleet may save up;
 *               0 to limit each node separately
 * @retry_window_us: time over which @retry_slack is granted anew, 0 for only once
 * @subset: smallest number of backend servers of a service that are used, 0 for
 *	    all
 * @slot_searches: backend servers that a call asks for a free slot before it
 *                 waits for one
 * @local_percent: estimated load, in percent, up to which backend servers of
 *                 the own zone are preferred; 0 for no preference other than
 *                 the penalty of other zones
 * @report_stale_us: age at which a load report counts half, 0 for the default
 * @path_check_us: time since the last message from a host after which a HELLO
 *                 must be answered before a request is sent there, 0 for never
 * @keep_path_floor: see bb_balance_filter_paths()
 * @use_reserve: a call that got no token in @draw_wait_us may use the reserve
 *               of its client account
 * @draw_wait_us: longest wait for a token of the rate limit
 * @attempt_percent: percentage of the time left that an attempt of an
 *                   idempotent request may use while another one may follow
 * @finished: called when a call has its answer; returns ownership of the call
 * @data: passed to the callbacks
 */
struct bb_entry_options {
	GMainContext *context;
	uint64_t incarnation;
	struct bb_adjacent *adjacent;
	struct bb_control *control;
	struct bb_sessions *sessions;
	struct bb_tracer *tracer;
	const struct bb_dialect *dialect;
	struct bb_notices *notices;
	int (*send)(void *data, uint32_t host, const struct bb_message *m,
		    struct bb_error *err);
	bool (*is_connected)(void *data, uint32_t host);
	uint32_t retry_percent;
	uint32_t retry_slack;
	int64_t retry_window_us;
	uint32_t subset;
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
 * bb_entry_configure() - use a newer snapshot for all further attempts.
 */
void bb_entry_configure(struct bb_entry *e, struct bb_snapshot *snapshot);

/**
 * bb_entry_submit() - start a call; takes ownership of it.
 */
void bb_entry_submit(struct bb_entry *e, struct bb_call *c);

/**
 * bb_entry_result() - process a RESULT of another node or of this one.
 */
void bb_entry_result(struct bb_entry *e, const struct bb_message_result *r);

/**
 * bb_entry_body_read() - send a part of the body of a request.
 * @e: entry side
 * @host: handle of the node that asks for it in the snapshot in force
 * @x: what it asks for
 *
 * Ignored unless it is the next part of a request that was sent to that node.
 */
void bb_entry_body_read(struct bb_entry *e, uint32_t host,
			const struct bb_message_body_read *x);

/**
 * bb_entry_welcome() - a session was renewed: send the requests that waited
 * for it.
 * @e: entry side
 * @host: handle of the other node's host in the snapshot in force
 */
void bb_entry_welcome(struct bb_entry *e, uint32_t host);

/**
 * bb_entry_reports() - take in the load of backend servers that another node
 * reports of those beside it.
 * @e: entry side
 * @host: handle of the other node's host in the snapshot in force, or BB_NO_ROW
 * @incarnation: of the other node
 * @clock_us: its clock when it sent them
 * @reports: the reports
 * @nr: their number
 *
 * Ignored without the policy report_bytes_per_s, or without a session from which
 * the age of the reports is known.
 */
void bb_entry_reports(struct bb_entry *e, uint32_t host, uint64_t incarnation,
		      int64_t clock_us, const struct bb_backend_report *reports,
		      size_t nr);

/**
 * bb_entry_tokens_arrived() - tokens arrived: try again to admit the calls
 * that wait for one.
 */
void bb_entry_tokens_arrived(struct bb_entry *e);

/**
 * bb_entry_record_answered() - process an answer of the record store.
 * @e: entry side
 * @q: the answered query; takes ownership
 */
void bb_entry_record_answered(struct bb_entry *e, struct bb_record_query *q);

/**
 * bb_entry_host_stopping() - a node announced that it accepts no more
 * requests.
 * @e: entry side
 * @host: handle of its host in the snapshot in force
 *
 * Avoids the paths to it for a while and drops its session, since the next node
 * on that host will be another incarnation.
 */
void bb_entry_host_stopping(struct bb_entry *e, uint32_t host);

/**
 * bb_entry_set_leaving() - stop choosing backend servers of these hosts.
 * @e: entry side
 * @hosts: set of host names; takes ownership. It also applies to newer
 *         snapshots.
 */
void bb_entry_set_leaving(struct bb_entry *e, GHashTable *hosts);

/**
 * bb_entry_tick() - probe nodes that do not answer, and retry idempotent
 * requests whose connection is lost.
 */
void bb_entry_tick(struct bb_entry *e, int64_t now_us);

/**
 * bb_entry_calls() - number of calls not yet answered.
 */
unsigned int bb_entry_calls(const struct bb_entry *e);

/**
 * bb_entry_abort() - answer all calls now, each with the verdict known so far.
 */
void bb_entry_abort(struct bb_entry *e);

void bb_entry_delete(struct bb_entry *e);

#endif
