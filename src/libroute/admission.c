#include "baobabward/admission.h"

#include <glib.h>

/*
 * Share of the longest useful wait that a request may use, by priority. Lower
 * priorities get less, so that under overload they are refused first and the
 * queue stays short enough for the requests that wait. Where the queue orders
 * requests by rank, low ranks wait behind the others and need no such limit.
 */
static const int64_t wait_percent[] = { 100, 100, 60, 40 };

enum bb_reason bb_admission_check(const struct bb_admission_request *a,
				  const struct bb_queue *q,
				  struct bb_breaker *b, int64_t now_us)
{
	if (!a->may_wait && !bb_queue_has_free_slot(q, now_us))
		return BB_REASON_QUEUE_FULL;
	if (b && !bb_breaker_admit(b, a->idempotent, a->last_resort, now_us))
		return BB_REASON_EJECTED;
	return BB_REASON_NONE;
}

int64_t bb_admission_wait_us(const struct bb_wait_limits *r)
{
	uint32_t priority =
		r->ranked ? 0 :
			    MIN(r->priority, G_N_ELEMENTS(wait_percent) - 1);
	int64_t useful_us = r->left_us - r->service_us;

	if (!r->target_us)
		return 0;
	if (r->timeout_us > r->target_us)
		useful_us -= r->timeout_us - r->target_us;
	return MAX(1, useful_us * wait_percent[priority] / 100);
}

int64_t bb_admission_late_wait_us(const struct bb_wait_limits *r)
{
	return MAX(1, r->left_us - r->service_us);
}
