/*
 * Records the outcomes of requests and probes and decides when probes are due.
 * Outcomes that a dead connection, load shedding or a restart explains do not
 * count against the backend server. A token bucket bounds the rate of probes.
 */
#include <stdio.h>

#include "health_internal.h"

/*
 * Token bucket of the probes. A probe takes 25 ms of the backend server's time,
 * so that one per second uses 2.5% of one slot.
 */
#define PROBE_TOKEN_INTERVAL_US (1 * BB_US_PER_S)
#define PROBE_BURST 3
#define PROBE_SUSPECT_INTERVAL_US (250 * BB_US_PER_MS)
#define PROBE_TRIAL_INTERVAL_US (1 * BB_US_PER_S)
#define PROBE_LOW_TRAFFIC_INTERVAL_US (5 * BB_US_PER_S)
/*
 * With few requests: interval for PROBE_TRIGGER_VALID_US after a bad outcome,
 * or after another node, which suspects another backend server, asked again.
 */
#define PROBE_TRIGGERED_INTERVAL_US (1 * BB_US_PER_S)
#define PROBE_TRIGGER_VALID_US (5 * BB_US_PER_S)
/*
 * A backend server is idle if no route class has this number of outcomes in
 * BB_EVIDENCE_WINDOW_US.
 */
#define IDLE_OUTCOMES 8
/*
 * After this time of suspicion, which one account's requests can prolong,
 * probes are as rare as with few requests, to cost less.
 */
#define LONG_SUSPECT_US (30 * BB_US_PER_S)
#define PROBE_TIMEOUT_US (2 * BB_US_PER_S)
/*
 * Outcomes are discounted for dead connections at most once in this time, and
 * possible restarts are taken into account as rarely.
 */
#define DISCOUNT_INTERVAL_US (30 * BB_US_PER_S)
/*
 * A connection with a response this time ago or less would be reused if the
 * server had not closed it. Servers close idle connections after 5 s or more.
 */
#define KEEP_ALIVE_US (4 * BB_US_PER_S)

static void observe_shed(struct bb_health *h, struct bb_health_backend *b,
			 int64_t now_us)
{
	if (now_us < b->back_off_until_us)
		return;
	if (now_us - b->back_off_until_us > BACK_OFF_RESET_US)
		b->back_off_us = BACK_OFF_MIN_US;
	else
		b->back_off_us = MIN(2 * b->back_off_us, BACK_OFF_MAX_US);
	if (!h->automation) {
		snprintf(b->reason, sizeof(b->reason), "sheds load with 503");
		bb_health_record_withheld(h, b, BB_HEALTH_BACKING_OFF, now_us);
		return;
	}
	b->back_off_until_us = now_us + b->back_off_us;
}

/* Detects a restart: refused connections followed by a success. */
static void observe_restart(struct bb_health *h, struct bb_health_backend *b,
			    const struct bb_health_outcome *o, int64_t now_us)
{
	if (o->kind == BB_OUTCOME_CONNECT_FAILURE) {
		b->connect_failures++;
		return;
	}
	if (bb_evidence_failed(o->kind))
		return;
	if (b->connect_failures >= RESTART_CONNECT_FAILURES && h->automation &&
	    b->state < BB_HEALTH_EJECTED &&
	    now_us - b->restart_us > RESTART_INTERVAL_US) {
		b->restart_us = b->ramp_started_us = now_us;
		bb_health_clear_evidence(b);
		snprintf(b->reason, sizeof(b->reason),
			 "cold start after %u refused connections",
			 b->connect_failures);
	}
	b->connect_failures = 0;
}

/*
 * Detects a possible restart. A restart closes all connections; a quick one
 * refuses none. It is possible if a response arrives on a new connection soon
 * after one on a reused connection, and disproved by a response on a connection
 * that was opened before the new one. Possible restarts are taken into account
 * at most once in DISCOUNT_INTERVAL_US, so that a server that closes its
 * connections hides its slowness for at most a third of the time.
 */
static void observe_connection(struct bb_health_backend *b,
			       const struct bb_health_outcome *o,
			       int64_t now_us)
{
	if (!o->opened_us || bb_evidence_failed(o->kind) ||
	    o->class_id == BB_HEALTH_CLASS_PROBE)
		return;
	if (o->opened_us < b->possible_restart_us) {
		b->possible_restart_us = NEVER_US;
		for (int i = 0; i < BB_HEALTH_CLASSES; i++)
			bb_evidence_clear_cold_start(&b->evidence[i]);
	} else if (now_us - b->possible_restart_us > DISCOUNT_INTERVAL_US &&
		   o->opened_us > b->reused_answer_us &&
		   o->opened_us - b->reused_answer_us <= KEEP_ALIVE_US) {
		b->possible_restart_us = o->opened_us;
	}
	if (!o->new_connection)
		b->reused_answer_us = now_us;
}

static bool may_be_cold_start(const struct bb_health_backend *b,
			      const struct bb_health_outcome *o, int64_t now_us)
{
	return now_us - o->latency_us >= b->possible_restart_us &&
	       now_us - b->possible_restart_us < RAMP_US;
}

/*
 * A successful probe, always on a new connection, shows that only the old
 * connections were dead: their outcomes are discounted.
 */
static void observe_probe(struct bb_health_backend *b,
			  const struct bb_health_outcome *o, int64_t now_us)
{
	unsigned int discounted = 0;

	b->probe_done_us = now_us;
	if (bb_evidence_failed(o->kind) ||
	    now_us - b->discounted_us < DISCOUNT_INTERVAL_US ||
	    b->state != BB_HEALTH_SUSPECT)
		return;
	for (int i = 0; i < BB_HEALTH_ROUTE_CLASSES; i++)
		discounted +=
			bb_evidence_discount(&b->evidence[i], b->probe_sent_us);
	if (!discounted)
		return;
	b->discounted_us = now_us;
	b->discounted_until_us = b->probe_sent_us;
}

void bb_health_observe(struct bb_health *h, const struct bb_health_outcome *o,
		       int64_t now_us)
{
	struct bb_health_backend *b = bb_health_lookup(h, o->backend);

	if (!b || !b->in_service || o->class_id >= BB_HEALTH_CLASSES)
		return;
	b->last_outcome_us = now_us;
	if (o->class_id == BB_HEALTH_CLASS_PROBE)
		observe_probe(b, o, now_us);
	observe_restart(h, b, o, now_us);
	observe_connection(b, o, now_us);
	if (b->state == BB_HEALTH_TRIAL) {
		bb_health_observe_trial(h, b, o, now_us);
		return;
	}
	/* A late outcome of a request that was sent before the ejection. */
	if (b->state == BB_HEALTH_EJECTED)
		return;
	if (o->kind == BB_OUTCOME_SHED) {
		observe_shed(h, b, now_us);
		return;
	}
	bb_evidence_add(&b->evidence[o->class_id], o, now_us);
	if (may_be_cold_start(b, o, now_us))
		bb_evidence_mark_cold_start(&b->evidence[o->class_id]);
	/* The request began on an old connection before the last such probe. */
	if (b->discounted_us > NEVER_US)
		bb_evidence_discount(&b->evidence[o->class_id],
				     b->discounted_until_us);
	if (o->kind == BB_OUTCOME_SILENT_CONNECTION ||
	    (o->class_id == BB_HEALTH_CLASS_PROBE &&
	     bb_evidence_failed(o->kind)))
		b->probe_wanted = true;
	b->dirty = true;
}

void bb_health_hint(struct bb_health *h, uint32_t backend, bool healthy,
		    int64_t now_us)
{
	struct bb_health_backend *b = bb_health_lookup(h, backend);

	if (!b || healthy ||
	    now_us - b->probe_done_us < PROBE_LOW_TRAFFIC_INTERVAL_US)
		return;
	b->probe_wanted = b->dirty = true;
}

static unsigned int recent_outcomes(const struct bb_evidence *e, int64_t now_us)
{
	unsigned int nr = 0;

	for (unsigned int i = 0; i < e->nr; i++)
		nr += now_us - e->samples[i].at_us < BB_EVIDENCE_WINDOW_US;
	return nr;
}

bool bb_health_is_idle(const struct bb_health_backend *b, int64_t now_us)
{
	for (int i = 0; i < BB_HEALTH_ROUTE_CLASSES; i++)
		if (recent_outcomes(&b->evidence[i], now_us) >= IDLE_OUTCOMES)
			return false;
	return true;
}

bool bb_health_has_low_traffic(const struct bb_health_backend *b,
			       int64_t now_us)
{
	unsigned int nr = 0;

	for (int i = 0; i < BB_HEALTH_ROUTE_CLASSES; i++)
		nr += recent_outcomes(&b->evidence[i], now_us);
	return nr < BB_EVIDENCE_SIZE;
}

static bool probe_needed(const struct bb_health *h,
			 const struct bb_health_backend *b, int64_t now_us)
{
	int64_t since_us = now_us - b->probe_sent_us;

	if (!b->in_service || (b->probe_sent_us > b->probe_done_us &&
			       since_us < PROBE_TIMEOUT_US))
		return false;
	if (h->options.trial_probes_only && b->state != BB_HEALTH_TRIAL)
		return false;
	switch (b->state) {
	case BB_HEALTH_SUSPECT:
		if (now_us - b->state_since_us > LONG_SUSPECT_US)
			return since_us >= PROBE_LOW_TRAFFIC_INTERVAL_US;
		return since_us >= PROBE_SUSPECT_INTERVAL_US;
	case BB_HEALTH_TRIAL:
		return since_us >= PROBE_TRIAL_INTERVAL_US &&
		       now_us - b->trial_sent_us >= PROBE_TRIAL_INTERVAL_US;
	case BB_HEALTH_OK:
		return since_us >= (now_us - b->probe_trigger_us <
						    PROBE_TRIGGER_VALID_US ?
					    PROBE_TRIGGERED_INTERVAL_US :
					    PROBE_LOW_TRAFFIC_INTERVAL_US) &&
		       bb_health_has_low_traffic(b, now_us);
	default:
		return false;
	}
}

uint32_t bb_health_probe_due(struct bb_health *h, int64_t now_us)
{
	for (guint i = 0; i < h->backends->len; i++) {
		struct bb_health_backend *b = h->backends->pdata[i];

		if (!probe_needed(h, b, now_us))
			continue;
		b->probe_bucket_empty_us =
			MAX(b->probe_bucket_empty_us,
			    now_us - PROBE_BURST * PROBE_TOKEN_INTERVAL_US);
		if (now_us - b->probe_bucket_empty_us < PROBE_TOKEN_INTERVAL_US)
			continue;
		b->probe_bucket_empty_us += PROBE_TOKEN_INTERVAL_US;
		b->probe_sent_us = now_us;
		return b->handle;
	}
	return BB_NO_ROW;
}
