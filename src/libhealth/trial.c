/*
 * Trials of an ejected backend server after its hold-off: enough successes
 * readmit it; a failure, or a strong finding that it is slow, ejects it again.
 */
#include <stdio.h>

#include "health_internal.h"

/* Successful trials needed for readmission. */
#define TRIALS_TO_READMIT 5
/*
 * Further successes needed for each slow trial. A backend server with 4% of
 * slow responses is readmitted soon; one with 40% is with a probability of 9%.
 * If the first slow trial ejected it, that would be 8%.
 */
#define TRIALS_PER_SLOW_TRIAL 5
/* Trials that neither readmit nor eject are restarted after this time. */
#define TRIALS_RESTART_US BB_EVIDENCE_WINDOW_US

static void reference(const struct bb_health_backend *b, uint32_t class_id,
		      int64_t now_us, struct bb_evidence_reference *out)
{
	bb_pool_reference(b->pool, b->handle, class_id,
			  now_us - SUMMARY_AGE_MAX_US, INT64_MIN, out);
}

/* Whether slowness is found and confirmed as it has to be for an ejection. */
static bool found_slow(const struct bb_health_backend *b, uint32_t class_id,
		       int64_t now_us, struct bb_evidence_result *out)
{
	struct bb_evidence_reference ref;

	if (!b->evidence[class_id].nr)
		return false;
	reference(b, class_id, now_us, &ref);
	bb_evidence_judge(&b->evidence[class_id], &ref, b->state_since_us,
			  b->state_since_us, out);
	out->class_id = class_id;
	return out->level == BB_EVIDENCE_STRONG && out->slow &&
	       now_us - out->since_us >= CONFIRM_MIN_US &&
	       bb_health_confirm_slow(b, out, b->state_since_us, now_us);
}

void bb_health_judge_trials(struct bb_health_backend *b, int64_t now_us)
{
	for (uint32_t i = 0; b->trials_slow && i < BB_HEALTH_CLASSES; i++) {
		struct bb_evidence_result r;

		if (!found_slow(b, i, now_us, &r))
			continue;
		snprintf(b->reason, sizeof(b->reason),
			 "trials failed: %u of the last %u responses took over "
			 "%.1f ms, the limit from the rest of the pool",
			 r.bad, r.nr, r.limit_us / 1000);
		bb_health_eject(b, now_us);
		return;
	}
	if (now_us - b->state_since_us > TRIALS_RESTART_US)
		bb_health_begin_trials(b, now_us);
}

/*
 * Successes in a class in which the latency of the pool is unknown do not make
 * up for a slow trial.
 */
static bool enough_successes(const struct bb_health_backend *b)
{
	if (!b->trials_slow)
		return b->trials_ok + b->trials_unknown >= TRIALS_TO_READMIT;
	return b->trials_ok >=
	       TRIALS_TO_READMIT + TRIALS_PER_SLOW_TRIAL * b->trials_slow;
}

static void count_trial(struct bb_health_backend *b,
			const struct bb_health_outcome *o, int64_t now_us)
{
	struct bb_evidence_reference ref;

	reference(b, o->class_id, now_us, &ref);
	if (!ref.latency_known)
		b->trials_unknown++;
	else if ((double)o->latency_us <= bb_evidence_slow_limit_us(&ref))
		b->trials_ok++;
	else if (!b->trials_slow++)
		bb_health_consult_pool(b, now_us);
}

void bb_health_observe_trial(struct bb_health *h, struct bb_health_backend *b,
			     const struct bb_health_outcome *o, int64_t now_us)
{
	if (o->class_id != BB_HEALTH_CLASS_PROBE)
		b->trial_running = false;
	if (o->kind == BB_OUTCOME_SHED || !h->automation)
		return;
	if (bb_evidence_failed(o->kind)) {
		snprintf(b->reason, sizeof(b->reason),
			 "trial failed: %s after %.1f ms",
			 bb_outcome_kind_string[o->kind],
			 (double)o->latency_us / 1000);
		bb_health_eject(b, now_us);
		return;
	}
	bb_evidence_add(&b->evidence[o->class_id], o, now_us);
	count_trial(b, o, now_us);
	if (enough_successes(b))
		bb_health_readmit(h, b, now_us, "trials succeeded");
}
