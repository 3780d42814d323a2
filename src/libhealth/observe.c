#include <stdio.h>

#include "health_internal.h"

/*
 * A probe costs the backend server 25 ms: one a second is 2.5% of one slot.
 */
#define PROBE_TOKEN_US (1 * BB_US_PER_S)
#define PROBE_BURST 3
#define PROBE_SUSPECT_US (250 * BB_US_PER_MS)
#define PROBE_TRIAL_US (1 * BB_US_PER_S)
#define PROBE_THIN_US (5 * BB_US_PER_S)
/* With few requests: after a bad outcome, or while another one is suspected. */
#define PROBE_DOUBT_US (1 * BB_US_PER_S)
#define DOUBT_US (5 * BB_US_PER_S)
/* Idle when no class has this number of outcomes in BB_EVIDENCE_WINDOW_US. */
#define IDLE_OUTCOMES 8
/* A suspicion that lasts, such as of one account's requests, costs less. */
#define SUSPECT_LONG_US (30 * BB_US_PER_S)
#define PROBE_LOST_US (2 * BB_US_PER_S)
/* Dead connections, and a restart, are excused at most once in this time. */
#define EXCUSE_US (30 * BB_US_PER_S)
/*
 * A connection that answered this time ago would be used again if the server
 * had not closed it. Servers close idle connections after 5 s and more.
 */
#define KEEP_ALIVE_US (4 * BB_US_PER_S)

static void observe_shed(struct bb_health *h, struct bb_health_backend *b,
			 int64_t now_us)
{
	if (now_us < b->back_off_until_us)
		return;
	if (now_us - b->back_off_until_us > BACK_OFF_FORGET_US)
		b->back_off_us = BACK_OFF_MIN_US;
	else
		b->back_off_us = MIN(2 * b->back_off_us, BACK_OFF_MAX_US);
	if (!h->automation) {
		snprintf(b->reason, sizeof(b->reason), "sheds load with 503");
		bb_health_record_would(h, b, BB_HEALTH_BACKING_OFF, now_us);
		return;
	}
	b->back_off_until_us = now_us + b->back_off_us;
}

/* Refused connections followed by a success: the server was restarted. */
static void observe_restart(struct bb_health *h, struct bb_health_backend *b,
			    const struct bb_health_outcome *o, int64_t now_us)
{
	if (o->kind == BB_OUTCOME_CONNECT_FAILURE) {
		b->connects_failed++;
		return;
	}
	if (bb_evidence_failed(o->kind))
		return;
	/* At most once in the time, or a flapping server is never ejected. */
	if (b->connects_failed >= RESTART_CONNECTS && h->automation &&
	    b->state < BB_HEALTH_EJECTED &&
	    now_us - b->restart_us > EXCUSE_US) {
		b->restart_us = b->ramp_us = now_us;
		bb_health_forget(b);
		snprintf(b->reason, sizeof(b->reason),
			 "cold start after %u refused connections",
			 b->connects_failed);
	}
	b->connects_failed = 0;
}

/*
 * A restart closes all connections, and one that is quick enough refuses none.
 * It is possible when a new connection answers soon after a reused one, and
 * disproved when a connection from before the new one answers. Possible ones
 * are taken into account at most once in EXCUSE_US, so that a server that
 * closes its connections hides its slowness for a third of the time at most.
 */
static void observe_connection(struct bb_health_backend *b,
			       const struct bb_health_outcome *o,
			       int64_t now_us)
{
	if (!o->opened_us || bb_evidence_failed(o->kind) ||
	    o->class_id == BB_HEALTH_CLASS_PROBE)
		return;
	if (o->opened_us < b->cold_us) {
		b->cold_us = NEVER_US;
		for (int i = 0; i < BB_HEALTH_CLASSES; i++)
			bb_evidence_clear_cold_start(&b->evidence[i]);
	} else if (now_us - b->cold_us > EXCUSE_US &&
		   o->opened_us > b->reused_us &&
		   o->opened_us - b->reused_us <= KEEP_ALIVE_US) {
		b->cold_us = o->opened_us;
	}
	if (!o->new_connection)
		b->reused_us = now_us;
}

static bool cold(const struct bb_health_backend *b,
		 const struct bb_health_outcome *o, int64_t now_us)
{
	return now_us - o->latency_us >= b->cold_us &&
	       now_us - b->cold_us < RAMP_US;
}

/* A probe on a new connection works: only the old connections were dead. */
static void observe_probe(struct bb_health_backend *b,
			  const struct bb_health_outcome *o, int64_t now_us)
{
	unsigned int excused = 0;

	b->probe_done_us = now_us;
	if (bb_evidence_failed(o->kind) || now_us - b->excused_us < EXCUSE_US ||
	    b->state != BB_HEALTH_SUSPECT)
		return;
	for (int i = 0; i < BB_HEALTH_ROUTE_CLASSES; i++)
		excused +=
			bb_evidence_discount(&b->evidence[i], b->probe_sent_us);
	if (!excused)
		return;
	b->excused_us = now_us;
	b->excused_until_us = b->probe_sent_us;
}

void bb_health_observe(struct bb_health *h, const struct bb_health_outcome *o,
		       int64_t now_us)
{
	struct bb_health_backend *b = bb_health_lookup(h, o->backend);

	if (!b || !b->in || o->class_id >= BB_HEALTH_CLASSES)
		return;
	b->outcome_us = now_us;
	if (o->class_id == BB_HEALTH_CLASS_PROBE)
		observe_probe(b, o, now_us);
	observe_restart(h, b, o, now_us);
	observe_connection(b, o, now_us);
	if (b->state == BB_HEALTH_TRIAL) {
		bb_health_observe_trial(h, b, o, now_us);
		return;
	}
	/* Late outcomes of requests sent before the ejection. */
	if (b->state == BB_HEALTH_EJECTED)
		return;
	if (o->kind == BB_OUTCOME_SHED) {
		observe_shed(h, b, now_us);
		return;
	}
	bb_evidence_add(&b->evidence[o->class_id], o, now_us);
	if (cold(b, o, now_us))
		bb_evidence_mark_cold_start(&b->evidence[o->class_id]);
	/* Requests on connections that the last probe showed to be dead. */
	if (b->excused_us > NEVER_US)
		bb_evidence_discount(&b->evidence[o->class_id],
				     b->excused_until_us);
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

	if (!b || healthy || now_us - b->probe_done_us < PROBE_THIN_US)
		return;
	b->probe_wanted = b->dirty = true;
}

static unsigned int outcomes(const struct bb_evidence *e, int64_t now_us)
{
	unsigned int nr = 0;

	for (unsigned int i = 0; i < e->nr; i++)
		nr += now_us - e->samples[i].at_us < BB_EVIDENCE_WINDOW_US;
	return nr;
}

bool bb_health_idle(const struct bb_health_backend *b, int64_t now_us)
{
	for (int i = 0; i < BB_HEALTH_ROUTE_CLASSES; i++)
		if (outcomes(&b->evidence[i], now_us) >= IDLE_OUTCOMES)
			return false;
	return true;
}

bool bb_health_thin(const struct bb_health_backend *b, int64_t now_us)
{
	unsigned int nr = 0;

	for (int i = 0; i < BB_HEALTH_ROUTE_CLASSES; i++)
		nr += outcomes(&b->evidence[i], now_us);
	return nr < BB_EVIDENCE_SIZE;
}

static bool probe_needed(const struct bb_health *h,
			 const struct bb_health_backend *b, int64_t now_us)
{
	int64_t since_us = now_us - b->probe_sent_us;

	if (!b->in ||
	    (b->probe_sent_us > b->probe_done_us && since_us < PROBE_LOST_US))
		return false;
	if (h->options.trial_probes_only && b->state != BB_HEALTH_TRIAL)
		return false;
	switch (b->state) {
	case BB_HEALTH_SUSPECT:
		if (now_us - b->since_us > SUSPECT_LONG_US)
			return since_us >= PROBE_THIN_US;
		return since_us >= PROBE_SUSPECT_US;
	case BB_HEALTH_TRIAL:
		return since_us >= PROBE_TRIAL_US &&
		       now_us - b->trial_sent_us >= PROBE_TRIAL_US;
	case BB_HEALTH_OK:
		return since_us >= (now_us - b->doubt_us < DOUBT_US ?
					    PROBE_DOUBT_US :
					    PROBE_THIN_US) &&
		       bb_health_thin(b, now_us);
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
		b->probe_tokens_us = MAX(b->probe_tokens_us,
					 now_us - PROBE_BURST * PROBE_TOKEN_US);
		if (now_us - b->probe_tokens_us < PROBE_TOKEN_US)
			continue;
		b->probe_tokens_us += PROBE_TOKEN_US;
		b->probe_sent_us = now_us;
		return b->handle;
	}
	return BB_NO_ROW;
}
