/*
 * Queries of the health of a backend server, and the exchange of pool summaries
 * with other nodes.
 */
#include "health_internal.h"

/*
 * Time for which entry nodes should avoid a backend server in the trial state,
 * so that not all of them send trial requests at once.
 */
#define TRIAL_AVOID_US (500 * BB_US_PER_MS)
/*
 * A second request for summaries after a time in this range comes from a node
 * that suspects another backend server. Without a suspicion, several nodes may
 * ask at about the same time, but each at longer intervals.
 */
#define ASKED_AGAIN_MIN_US (100 * BB_US_PER_MS)
#define ASKED_AGAIN_MAX_US (1200 * BB_US_PER_MS)

enum bb_health_state bb_health_state(const struct bb_health *h,
				     uint32_t backend, int64_t now_us)
{
	const struct bb_health_backend *b = bb_health_lookup(h, backend);

	if (!b || b->state != BB_HEALTH_OK)
		return b ? b->state : BB_HEALTH_OK;
	if (now_us < b->back_off_until_us && h->automation)
		return BB_HEALTH_BACKING_OFF;
	return bb_health_is_ramping(h, b, now_us) ? BB_HEALTH_RAMPING :
						    BB_HEALTH_OK;
}

const char *bb_health_reason(const struct bb_health *h, uint32_t backend)
{
	const struct bb_health_backend *b = bb_health_lookup(h, backend);

	return b ? b->reason : "";
}

int64_t bb_health_avoid_for_us(const struct bb_health *h, uint32_t backend,
			       int64_t now_us)
{
	const struct bb_health_backend *b = bb_health_lookup(h, backend);

	if (!b || !b->in_service)
		return 0;
	if (b->state == BB_HEALTH_TRIAL)
		return TRIAL_AVOID_US;
	if (b->state == BB_HEALTH_EJECTED)
		return h->automation ? MAX(b->hold_off_until_us - now_us, 0) :
				       HOLD_OFF_MIN_US;
	return h->automation ? MAX(b->back_off_until_us - now_us, 0) : 0;
}

double bb_health_weight(const struct bb_health *h, uint32_t backend,
			int64_t now_us)
{
	const struct bb_health_backend *b = bb_health_lookup(h, backend);

	if (!b || !b->in_service)
		return 1;
	if (b->state == BB_HEALTH_EJECTED || b->state == BB_HEALTH_TRIAL)
		return 0;
	if (!bb_health_is_ramping(h, b, now_us))
		return 1;
	if (!h->automation)
		now_us = MIN(now_us, h->automation_off_us);
	return RAMP_WEIGHT_MIN + (1 - RAMP_WEIGHT_MIN) *
					 (double)(now_us - b->ramp_started_us) /
					 RAMP_US;
}

const struct bb_health_withheld_action *
bb_health_withheld_actions(const struct bb_health *h, size_t *nr)
{
	*nr = h->withheld->len;
	return (const struct bb_health_withheld_action *)(void *)
		h->withheld->data;
}

/*
 * Triggers probes if another node confirms a suspicion: it needs summaries of
 * outcomes of the same time (see PROBE_TRIGGERED_INTERVAL_US).
 */
static void record_asked(struct bb_health_backend *b, int64_t now_us)
{
	int64_t since_us = now_us - b->last_asked_us;

	if (since_us >= ASKED_AGAIN_MIN_US && since_us <= ASKED_AGAIN_MAX_US)
		b->probe_trigger_us = now_us;
	b->last_asked_us = now_us;
}

size_t bb_health_pool_summary(struct bb_health *h, uint32_t service,
			      struct bb_pool_summary *out, size_t max,
			      int64_t now_us)
{
	size_t nr = 0;

	for (guint i = 0; i < h->backends->len; i++) {
		struct bb_health_backend *b = h->backends->pdata[i];
		int64_t since_us = now_us - BB_EVIDENCE_WINDOW_US;
		uint32_t merged_errors = 0;

		if (b->pool->service != service || !b->in_service)
			continue;
		record_asked(b, now_us);
		/* Outcomes of trials must not become the pool's reference. */
		if (b->state == BB_HEALTH_TRIAL)
			since_us = now_us + 1;
		/*
		 * Failures show in the summary as soon as in the merged
		 * evidence that judge() uses with few requests.
		 */
		if (bb_health_has_low_traffic(b, now_us))
			merged_errors = bb_evidence_merged_error_permille(
				b->evidence, BB_HEALTH_ROUTE_CLASSES, since_us);
		for (uint32_t j = 0; j < BB_HEALTH_CLASSES && nr < max; j++) {
			out[nr] =
				(struct bb_pool_summary){ .backend = b->handle,
							  .class_id = j };
			bb_evidence_summary(&b->evidence[j], since_us, now_us,
					    &out[nr]);
			if (j != BB_HEALTH_CLASS_PROBE)
				out[nr].error_permille = MAX(
					out[nr].error_permille, merged_errors);
			/* For probes it is sent even if empty, as an answer. */
			nr += out[nr].samples || j == BB_HEALTH_CLASS_PROBE;
		}
	}
	return nr;
}

void bb_health_set_pool_summary(struct bb_health *h,
				const struct bb_pool_summary *s, int64_t now_us)
{
	if (bb_health_lookup(h, s->backend))
		return;
	for (guint i = 0; i < h->pools->len; i++)
		bb_pool_set(h->pools->pdata[i], s, now_us);
}

/* Stores the summaries of this node's own backend servers without a message. */
static void set_local_summaries(struct bb_health *h, struct bb_pool *p,
				int64_t now_us)
{
	struct bb_pool_summary s[16 * BB_HEALTH_CLASSES];
	size_t nr = bb_health_pool_summary(h, p->service, s, G_N_ELEMENTS(s),
					   now_us);

	for (size_t i = 0; i < nr; i++)
		bb_pool_set(p, &s[i], now_us);
}

uint32_t bb_health_summary_due(struct bb_health *h, int64_t now_us)
{
	for (guint i = 0; i < h->pools->len; i++) {
		struct bb_pool *p = h->pools->pdata[i];
		uint32_t backend = bb_pool_next_to_ask(p, now_us);

		if (backend == BB_NO_ROW)
			continue;
		set_local_summaries(h, p, now_us);
		return backend;
	}
	return BB_NO_ROW;
}
