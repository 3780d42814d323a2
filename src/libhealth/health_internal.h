/* State shared by the sources of struct bb_health. */
#ifndef BB_LIBHEALTH_HEALTH_INTERNAL_H
#define BB_LIBHEALTH_HEALTH_INTERNAL_H

#include <glib.h>

#include "baobabward/clock.h"
#include "baobabward/health.h"
#include "evidence.h"
#include "pool.h"

/* Summaries older than this are not used at all. */
#define SUMMARY_MAX_US (300 * BB_US_PER_S)
/* First and longest hold-off of an ejection. */
#define HOLD_MIN_US (5 * BB_US_PER_S)
#define HOLD_MAX_US (300 * BB_US_PER_S)
/* Shortest time between the first sign and an ejection. */
#define CONFIRM_US (200 * BB_US_PER_MS)
/* A trial without an outcome is forgotten after this time. */
#define TRIAL_LOST_US (30 * BB_US_PER_S)
#define RAMP_US (10 * BB_US_PER_S)
#define RAMP_WEIGHT_MIN 0.2
/* Load shedding: first and longest back-off, and when the next is short. */
#define BACK_OFF_MIN_US (100 * BB_US_PER_MS)
#define BACK_OFF_MAX_US (2 * BB_US_PER_S)
#define BACK_OFF_FORGET_US (5 * BB_US_PER_S)
/* Refused connections after which a success is a cold start. */
#define RESTART_CONNECTS 1
#define WOULD_MAX 256
/* Class of a finding over the outcomes of all route classes. */
#define CLASS_MERGED BB_HEALTH_CLASSES
#define NEVER_US (INT64_MIN / 2)

/* @state is OK, SUSPECT, EJECTED or TRIAL; the others come on top of OK. */
struct bb_health_backend {
	char *name;
	uint32_t handle;
	struct bb_pool *pool;
	bool in; /* neither its own state nor its host's is leaving */
	bool configured_in; /* its own state */
	enum bb_health_state state;
	int64_t since_us;
	int64_t evidence_us; /* last time that there was any */
	int64_t hold_until_us;
	int64_t hold_us;
	int64_t readmitted_us;
	int64_t ramp_us; /* start of the ramp */
	int64_t back_off_until_us;
	int64_t back_off_us;
	int64_t outcome_us;
	int64_t probe_sent_us;
	int64_t probe_done_us;
	int64_t doubt_us; /* last sign that calls for probes */
	int64_t asked_us; /* last question for its summaries */
	int64_t probe_tokens_us; /* time at which the token bucket was empty */
	int64_t excused_us;
	int64_t excused_until_us; /* start of the probe */
	int64_t restart_us;
	int64_t reused_us; /* last answer on a reused connection */
	int64_t cold_us; /* restart that no answer has disproved */
	int64_t trial_sent_us;
	bool probe_wanted;
	bool trial_out;
	bool dirty;
	bool withheld;
	/* Trials that did not fail: in time, slow, of unknown latency. */
	unsigned int trials_ok;
	unsigned int trials_slow; /* if any, the pool is asked often */
	unsigned int trials_unknown;
	unsigned int connects_failed;
	char reason[BB_HEALTH_REASON_SIZE];
	struct bb_evidence evidence[BB_HEALTH_CLASSES];
};

struct bb_health {
	struct bb_health_options options;
	bool automation;
	bool leaving; /* the platform takes the host away */
	int64_t off_us; /* when automation was turned off */
	GPtrArray *backends; /* struct bb_health_backend */
	GHashTable *by_handle;
	GPtrArray *pools; /* struct bb_pool */
	GArray *would; /* struct bb_health_withheld_action */
};

struct bb_health_backend *bb_health_lookup(const struct bb_health *h,
					   uint32_t handle);

/* Fewer requests than the evidence has room for. */
bool bb_health_thin(const struct bb_health_backend *b, int64_t now_us);

/* Too few requests for evidence of their own. */
bool bb_health_idle(const struct bb_health_backend *b, int64_t now_us);

/* Leaves out all evidence so far. */
void bb_health_forget(struct bb_health_backend *b);

void bb_health_record_would(struct bb_health *h,
			    const struct bb_health_backend *b,
			    enum bb_health_state state, int64_t now_us);

void bb_health_eject(struct bb_health_backend *b, int64_t now_us);

void bb_health_readmit(struct bb_health *h, struct bb_health_backend *b,
		       int64_t now_us, const char *why);

/* Asks the pool often, until the state changes. */
void bb_health_consult_pool(struct bb_health_backend *b, int64_t now_us);

/*
 * Whether finding @r holds against those members only whose figures cover the
 * same time; latencies before @latency_since_us are left out.
 */
bool bb_health_slow_now(const struct bb_health_backend *b,
			const struct bb_evidence_result *r,
			int64_t latency_since_us, int64_t now_us);

void bb_health_observe_trial(struct bb_health *h, struct bb_health_backend *b,
			     const struct bb_health_outcome *o, int64_t now_us);

void bb_health_begin_trials(struct bb_health_backend *b, int64_t now_us);

/* Ejects again if the trials show that it is slow. */
void bb_health_judge_trials(struct bb_health_backend *b, int64_t now_us);

bool bb_health_ramping(const struct bb_health *h,
		       const struct bb_health_backend *b, int64_t now_us);

#endif
