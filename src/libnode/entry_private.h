/*
 * State of the entry side, shared by entry.c (attempts), entry_admit.c (rate
 * limit tokens and idempotency records), entry_paths.c (nodes that do not
 * answer or are stopping) and entry_config.c (changes of the configuration).
 */
#ifndef BB_NODE_ENTRY_PRIVATE_H
#define BB_NODE_ENTRY_PRIVATE_H

#include "baobabward/attempt.h"
#include "baobabward/backend_view.h"
#include "baobabward/balance.h"
#include "baobabward/cost.h"
#include "baobabward/reserve.h"
#include "baobabward/retry.h"
#include "baobabward/retry_after.h"
#include "libnode/entry.h"
#include "libnode/request_spans.h"

/**
 * enum attempt_state - state of the current attempt of a call.
 * @ATTEMPT_NONE: none in progress
 * @ATTEMPT_WAITS_FOR_TOKEN: waits for a token of the rate limit
 * @ATTEMPT_WAITS_FOR_RECORD: waits for the record store
 * @ATTEMPT_WAITS_FOR_SESSION: waits for the WELCOME of the receiving node
 * @ATTEMPT_SENT: EXECUTE was sent
 * @ATTEMPT_CANCELLING: CANCEL was sent
 */
enum attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_WAITS_FOR_TOKEN,
	ATTEMPT_WAITS_FOR_RECORD,
	ATTEMPT_WAITS_FOR_SESSION,
	ATTEMPT_SENT,
	ATTEMPT_CANCELLING,
};

/**
 * struct bb_attempts - attempts of one call; freed when the call is answered.
 * @history: attempts made so far
 * @id: id of the current attempt
 * @host: host of the current attempt, BB_NO_ROW if it was removed from the
 *        configuration
 * @backend: backend server of the current attempt, BB_NO_ROW likewise
 * @backend_started_ms: when the backend server of the current attempt started,
 *                      by the configuration
 * @placement: expected cost and size, for the choice of the backend server; all
 *             zero without the policy
 * @path: path of the current attempt, NULL when released
 * @receiver_incarnation: incarnation that the current attempt is addressed to
 * @not_after_us: deadline of the attempt in the clock of the receiver
 * @body_left: bytes of the body that the receiver has still to read; it cannot
 *             execute the request before
 * @body_asked: it has asked for a part
 * @sent_us: when the request, or the HELLO that it waits for, was sent
 * @local: the backend server is beside this node
 * @caller_gone: the caller closed the connection, or this node is stopping;
 *               no retry follows
 * @key_recorded: the record store holds, or may hold, the idempotency key, so
 *                the outcome is stored when the call ends
 * @record_id: id of the query to the record store
 * @last_reason: why the last attempt failed
 * @ran_reason: why the attempt failed that the verdict comes from, BB_REASON_NONE
 *		if none may have run
 * @last_load: load of the backend server of the last attempt, zeroed if unknown
 * @token_wait_us: time until a token may be available, if one was refused
 * @has_answer: an earlier attempt was answered with an error, which is passed
 *              on if no later attempt succeeds
 * @spans: trace spans of the call
 * @timer: ends the current step
 * @hangup_watch: watches the caller's connection for its end
 */
struct bb_attempts {
	struct bb_entry *entry;
	struct bb_call *call;
	enum attempt_state state;
	struct bb_attempt_history history;
	struct bb_request_id id;
	uint32_t host;
	uint32_t backend;
	double backend_started_ms;
	struct bb_placement placement;
	struct bb_path *path;
	uint64_t receiver_incarnation;
	int64_t not_after_us;
	size_t body_left;
	bool body_asked;
	int64_t sent_us;
	bool local;
	bool caller_gone;
	bool key_recorded;
	struct bb_request_id record_id;
	enum bb_reason last_reason;
	enum bb_reason ran_reason;
	struct bb_load last_load;
	int64_t token_wait_us;
	bool has_answer;
	struct bb_entry_spans spans;
	GSource *timer;
	GSource *hangup_watch;
};

/**
 * struct bb_entry - entry side of a node.
 * @o: options
 * @calls: set of the struct bb_attempts of all calls not yet answered
 * @attempts: struct bb_attempts by sequence number of the request that was
 *            sent, or of the record query that it waits for
 * @balances: load balancer of each service of the snapshot
 * @balances_nr: number of @balances
 * @view: reported state of the backend servers beside other nodes
 * @leaving_hosts: names of the hosts that the platform is removing, or NULL
 * @paths: state of the path to each host of the snapshot
 * @probe_sent_us: for each host of the snapshot, when the HELLO was sent that
 *                 probes it and is not answered yet, 0 for none
 * @next_probe_us: earliest time of the next probe
 * @retry_budgets: retry budget of each service of the snapshot
 * @cost: model of the expected costs, NULL until the policy asks for it
 * @reserve: reserves of the client accounts
 * @service_returns: struct bb_returns by service name and priority
 * @account_returns: struct bb_returns by account name
 * @random: jitter of Retry-After
 * @last_sequence: sequence number last used by an attempt or record query
 * @token_waiters: attempts that wait for a token, oldest first
 * @hello_retry_timer: sends again the HELLOs that the transport refused
 */
struct bb_entry {
	struct bb_entry_options o;
	struct bb_snapshot *snapshot;
	GHashTable *calls;
	GHashTable *attempts;
	struct bb_balance **balances;
	size_t balances_nr;
	struct bb_backend_view *view;
	GHashTable *leaving_hosts;
	struct bb_paths *paths;
	GArray *probe_sent_us;
	int64_t next_probe_us;
	struct bb_retry_budget *retry_budgets;
	struct bb_cost *cost;
	struct bb_reserve *reserve;
	GHashTable *service_returns;
	GHashTable *account_returns;
	GRand *random;
	uint64_t last_sequence;
	GQueue token_waiters;
	GSource *hello_retry_timer;
};

/**
 * bb_attempts_admit() - spend a token, then query the idempotency record or
 * start the first attempt.
 * @t: attempts of a call
 * @waited: the call has already waited for a token
 */
void bb_attempts_admit(struct bb_attempts *t, bool waited);

/**
 * bb_attempts_admit_from_reserve() - no token arrived in time: admit the call
 * if the reserve of its client account has one, otherwise refuse it.
 */
void bb_attempts_admit_from_reserve(struct bb_attempts *t);

/**
 * bb_attempts_stop_waiting() - stop waiting for a token or a record.
 */
void bb_attempts_stop_waiting(struct bb_attempts *t);

/**
 * bb_attempts_store_outcome() - store the outcome under the idempotency key.
 */
void bb_attempts_store_outcome(struct bb_attempts *t);

/**
 * bb_attempts_refuse_unrecorded() - refuse the call because the record store is
 * unavailable.
 */
void bb_attempts_refuse_unrecorded(struct bb_attempts *t);

/**
 * bb_attempts_start_next() - choose a backend server and send it the request.
 */
void bb_attempts_start_next(struct bb_attempts *t);

/**
 * bb_attempts_set_timer() - end the current step after @delay_us.
 */
void bb_attempts_set_timer(struct bb_attempts *t, int64_t delay_us);

/**
 * bb_attempts_finish() - hand back the call with its answer; frees @t.
 */
void bb_attempts_finish(struct bb_attempts *t);

/**
 * bb_attempts_refuse() - finish with a refusal or failure; frees @t.
 */
void bb_attempts_refuse(struct bb_attempts *t, enum bb_verdict verdict,
			enum bb_reason reason);

/**
 * bb_attempts_fail_current() - the current attempt failed: start another one or
 * refuse the call. May free @t.
 */
void bb_attempts_fail_current(struct bb_attempts *t, enum bb_verdict verdict,
			      enum bb_reason reason);

/**
 * bb_attempts_retry_lost() - retry idempotent requests whose answer cannot
 * arrive because the connection is lost.
 * @e: entry side
 * @now_us: current time
 *
 * A non-idempotent request waits for its deadline instead: a second attempt
 * could run it twice.
 */
void bb_attempts_retry_lost(struct bb_entry *e, int64_t now_us);

/**
 * bb_entry_send_hello() - send a HELLO unless a recent one is still
 * unanswered.
 */
void bb_entry_send_hello(struct bb_entry *e, uint32_t host,
			 struct bb_session *s, int64_t now_us);

/**
 * bb_entry_record_path_timeout() - a node did not answer in time.
 * @e: entry side
 * @host: handle of its host, or BB_NO_ROW
 * @sent_us: when the unanswered message was sent
 * @now_us: current time
 */
void bb_entry_record_path_timeout(struct bb_entry *e, uint32_t host,
				  int64_t sent_us, int64_t now_us);

/**
 * bb_entry_record_path_answer() - a node answered.
 * @e: entry side
 * @host: handle of its host, or BB_NO_ROW
 * @hello: it answered a HELLO with a WELCOME; otherwise it sent a RESULT
 * @now_us: current time
 */
void bb_entry_record_path_answer(struct bb_entry *e, uint32_t host, bool hello,
				 int64_t now_us);

/**
 * bb_entry_carry_over_paths() - keep the state of paths for a newer snapshot.
 * @e: entry side with the newer snapshot
 * @old: the previous snapshot, or NULL
 */
void bb_entry_carry_over_paths(struct bb_entry *e,
			       const struct bb_snapshot *old);

/**
 * bb_entry_free_balances() - free the load balancers of a configuration.
 */
void bb_entry_free_balances(struct bb_balance **balances, size_t nr);

#endif
