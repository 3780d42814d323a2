/* State and functions shared by the sources of struct bb_health. */
#ifndef BB_LIBHEALTH_HEALTH_INTERNAL_H
#define BB_LIBHEALTH_HEALTH_INTERNAL_H

#include <glib.h>

#include "baobabward/clock.h"
#include "baobabward/health.h"
#include "evidence.h"
#include "pool.h"

/* Summaries older than this are not used at all. */
#define SUMMARY_AGE_MAX_US (300 * BB_US_PER_S)
/* First and longest hold-off: time from an ejection to its trials. */
#define HOLD_OFF_MIN_US (5 * BB_US_PER_S)
#define HOLD_OFF_MAX_US (300 * BB_US_PER_S)
/* Shortest time between the first evidence and an ejection. */
#define CONFIRM_MIN_US (200 * BB_US_PER_MS)
/* A trial without an outcome blocks other trials for at most this time. */
#define TRIAL_TIMEOUT_US (30 * BB_US_PER_S)
/* Length of a ramp, and the weight at which it starts. */
#define RAMP_US (10 * BB_US_PER_S)
#define RAMP_WEIGHT_MIN 0.2
/*
 * Load shedding: first and longest back-off, and the time without shedding
 * after which the next back-off is BACK_OFF_MIN_US again.
 */
#define BACK_OFF_MIN_US (100 * BB_US_PER_MS)
#define BACK_OFF_MAX_US (2 * BB_US_PER_S)
#define BACK_OFF_RESET_US (5 * BB_US_PER_S)
/* Failed connection attempts after which a success counts as a cold start. */
#define RESTART_CONNECT_FAILURES 1
/*
 * A restart discards outcomes, and ends an ejection, at most once in this time:
 * a backend server that starts again and again would never be ejected otherwise.
 */
#define RESTART_INTERVAL_US (30 * BB_US_PER_S)
#define WITHHELD_ACTIONS_MAX 256
/* Class of a finding in the merged outcomes of all route classes. */
#define CLASS_MERGED BB_HEALTH_CLASSES
#define NEVER_US (INT64_MIN / 2)

/*
 * Health of one backend server beside this node. @state is OK, SUSPECT, EJECTED
 * or TRIAL; ramping and backing off are derived from times while it is OK.
 */
struct bb_health_backend {
	char *name;
	double started_ms; /* when it started, by the configuration */
	uint32_t handle;
	struct bb_pool *pool;
	bool in_service; /* configured as in, on a host that is not leaving */
	bool configured_in_service; /* configured as in */
	enum bb_health_state state;
	int64_t state_since_us;
	int64_t last_evidence_us; /* last tick that found evidence */
	int64_t hold_off_until_us;
	int64_t hold_off_us; /* length of the present or next hold-off */
	int64_t readmitted_us;
	int64_t ramp_started_us;
	int64_t back_off_until_us;
	int64_t back_off_us; /* length of the latest back-off */
	int64_t last_outcome_us;
	int64_t probe_sent_us;
	int64_t probe_done_us;
	int64_t probe_trigger_us; /* last event that calls for more probes */
	int64_t last_asked_us; /* last request for its summaries */
	int64_t probe_bucket_empty_us; /* when the token bucket was empty */
	int64_t discounted_us; /* when outcomes were last discounted */
	int64_t discounted_until_us; /* latest begin of a discounted request */
	int64_t restart_us; /* last restart with refused connections */
	int64_t reused_answer_us; /* last response on a reused connection */
	int64_t possible_restart_us; /* not disproved by a response */
	int64_t trial_sent_us;
	bool probe_wanted; /* become suspect even without evidence, to probe */
	bool trial_running; /* a trial request has no outcome yet */
	bool dirty; /* outcomes since the last judgement */
	bool withheld_logged; /* the lack of a permit, in this state */
	/* Trials without failure: within limit, slow, latency unknown. */
	unsigned int trials_ok;
	unsigned int trials_slow; /* if not 0, the pool is asked often */
	unsigned int trials_unknown;
	unsigned int connect_failures; /* since the last success */
	char reason[BB_HEALTH_REASON_SIZE];
	struct bb_evidence evidence[BB_HEALTH_CLASSES];
};

struct bb_health {
	struct bb_health_options options;
	bool automation; /* as configured */
	bool leaving; /* the platform is removing the host */
	int64_t automation_off_us; /* when automation was turned off */
	GPtrArray *backends; /* struct bb_health_backend */
	GHashTable *by_handle; /* handle -> struct bb_health_backend */
	GPtrArray *pools; /* struct bb_pool */
	GArray *withheld; /* struct bb_health_withheld_action */
};

struct bb_health_backend *bb_health_lookup(const struct bb_health *h,
					   uint32_t handle);

/* Fewer outcomes of requests in the window than BB_EVIDENCE_SIZE. */
bool bb_health_has_low_traffic(const struct bb_health_backend *b,
			       int64_t now_us);

/* Too few requests in each class for evidence without probes. */
bool bb_health_is_idle(const struct bb_health_backend *b, int64_t now_us);

/* Discards all evidence so far. */
void bb_health_clear_evidence(struct bb_health_backend *b);

void bb_health_record_withheld(struct bb_health *h,
			       const struct bb_health_backend *b,
			       enum bb_health_state state, int64_t now_us);

void bb_health_eject(struct bb_health_backend *b, int64_t now_us);

void bb_health_readmit(struct bb_health *h, struct bb_health_backend *b,
		       int64_t now_us, const char *why);

/* Makes this node ask the pool for summaries often until the state changes. */
void bb_health_consult_pool(struct bb_health_backend *b, int64_t now_us);

/*
 * Whether the slowness found in @r is also a strong finding against only those
 * members whose summaries cover the same time; latencies before
 * @latency_since_us are left out.
 */
bool bb_health_confirm_slow(const struct bb_health_backend *b,
			    const struct bb_evidence_result *r,
			    int64_t latency_since_us, int64_t now_us);

void bb_health_observe_trial(struct bb_health *h, struct bb_health_backend *b,
			     const struct bb_health_outcome *o, int64_t now_us);

void bb_health_begin_trials(struct bb_health_backend *b, int64_t now_us);

/* Ejects again if the trials show that the backend server is slow. */
void bb_health_judge_trials(struct bb_health_backend *b, int64_t now_us);

bool bb_health_is_ramping(const struct bb_health *h,
			  const struct bb_health_backend *b, int64_t now_us);

#endif
