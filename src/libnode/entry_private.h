/*
 * State of the entry side, shared by its parts: entry.c (attempts),
 * entry_admit.c (tokens and idempotency records), entry_paths.c (silent and
 * stopping nodes) and entry_config.c (change of the configuration).
 */
#ifndef BB_NODE_ENTRY_PRIVATE_H
#define BB_NODE_ENTRY_PRIVATE_H

#include "baobabward/attempt.h"
#include "baobabward/balance.h"
#include "baobabward/reserve.h"
#include "baobabward/retry.h"
#include "libnode/entry.h"
#include "libnode/request_spans.h"

/**
 * enum attempt_state - where the current attempt of a call stands.
 */
enum attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_WAITS_FOR_TOKEN,
	ATTEMPT_WAITS_FOR_RECORD,
	ATTEMPT_WAITS_FOR_SESSION,
	ATTEMPT_SENT,
	ATTEMPT_CANCELLING,
};

struct bb_attempts {
	struct bb_entry *entry;
	struct bb_call *call;
	enum attempt_state state;
	struct bb_attempt_history made;
	struct bb_request_id id;
	uint32_t host;
	uint32_t backend;
	struct bb_path *path;
	uint64_t receiver_incarnation;
	int64_t not_after_us;
	/* When the request, or the HELLO that it waits for, was sent. */
	int64_t sent_us;
	bool local;
	bool gone;
	bool recorded;
	struct bb_request_id record_id;
	enum bb_reason last_reason;
	/* An earlier attempt was answered with an error, which is passed on if
	 * no later one succeeds. */
	bool answered;
	struct bb_entry_spans hop;
	GSource *timer;
	GSource *hangup;
};

struct bb_entry {
	struct bb_entry_options o;
	struct bb_snapshot *snapshot;
	GHashTable *calls;
	GHashTable *attempts;
	struct bb_balance **balances;
	size_t balances_nr;
	/* Names of the hosts that the platform takes away, or NULL. */
	GHashTable *leaving;
	/* By host of the snapshot, as are the HELLOs to silent hosts that are
	 * not answered yet: when each was sent, 0 for none. */
	struct bb_paths *paths;
	GArray *probes_us;
	int64_t next_probe_us;
	/* By service of the snapshot. */
	struct bb_retry_budget *budgets;
	struct bb_reserve *reserve;
	uint64_t next_attempt;
	GQueue token_waiters;
	GSource *hello_timer;
};

/**
 * bb_attempts_admit() - spend a token, then record the key or execute.
 * @t: attempts of a call
 * @waited: the call waited for a token before
 */
void bb_attempts_admit(struct bb_attempts *t, bool waited);

/**
 * bb_attempts_admit_unanswered() - no token came in time; the reserve decides.
 */
void bb_attempts_admit_unanswered(struct bb_attempts *t);

/**
 * bb_attempts_leave_wait() - end the waiting for a token or a record.
 */
void bb_attempts_leave_wait(struct bb_attempts *t);

/**
 * bb_attempts_record() - store the answer under the idempotency key.
 */
void bb_attempts_record(struct bb_attempts *t);

/**
 * bb_attempts_give_up_record() - refuse because the store did not answer.
 */
void bb_attempts_give_up_record(struct bb_attempts *t);

/**
 * bb_attempts_next() - choose a backend server and send the request to it.
 */
void bb_attempts_next(struct bb_attempts *t);

/**
 * bb_attempts_set_timer() - limit the present step.
 */
void bb_attempts_set_timer(struct bb_attempts *t, int64_t delay_us);

/**
 * bb_attempts_finish() - give the call back with the answer it has; frees @t.
 */
void bb_attempts_finish(struct bb_attempts *t);

/**
 * bb_attempts_refuse() - finish with a refusal or failure; frees @t.
 */
void bb_attempts_refuse(struct bb_attempts *t, enum bb_verdict verdict,
			enum bb_reason reason);

/**
 * bb_attempts_ended() - the attempt has no answer to pass on; try again or
 *			 refuse. May free @t.
 */
void bb_attempts_ended(struct bb_attempts *t, enum bb_verdict verdict,
		       enum bb_reason reason);

/**
 * bb_attempts_retry_lost() - retry idempotent requests whose answer cannot come
 *			      because the connection is lost.
 * @e: entry side
 * @now_us: current time
 *
 * Others wait for their deadline: a second attempt could be a second run.
 */
void bb_attempts_retry_lost(struct bb_entry *e, int64_t now_us);

/**
 * bb_entry_greet() - send HELLO unless one is on its way.
 */
void bb_entry_greet(struct bb_entry *e, uint32_t host, struct bb_session *s,
		    int64_t now_us);

/**
 * bb_entry_path_silent() - a node did not answer.
 * @e: entry side
 * @host: handle of its host, or BB_NO_ROW
 * @sent_us: when it was asked
 * @now_us: current time
 */
void bb_entry_path_silent(struct bb_entry *e, uint32_t host, int64_t sent_us,
			  int64_t now_us);

/**
 * bb_entry_path_answered() - a node answered.
 * @e: entry side
 * @host: handle of its host, or BB_NO_ROW
 * @hello: it was a WELCOME, else a RESULT
 * @now_us: current time
 */
void bb_entry_path_answered(struct bb_entry *e, uint32_t host, bool hello,
			    int64_t now_us);

/**
 * bb_entry_carry_paths() - keep the state of paths for a newer snapshot.
 * @e: entry side with the newer snapshot
 * @old: the earlier one, or NULL
 */
void bb_entry_carry_paths(struct bb_entry *e, const struct bb_snapshot *old);

/**
 * bb_entry_free_balances() - free the balances of a configuration.
 */
void bb_entry_free_balances(struct bb_balance **balances, size_t nr);

#endif
