#include "baobabward/retry.h"

#include <ck_pr.h>

#include "baobabward/clock.h"
#include "baobabward/metrics.h"

/* Thousandths of a retry. */
#define RETRY_COST 1000
#define OVERLOAD_COST (2 * RETRY_COST)
/* A first attempt earns 10% of a retry. */
#define FIRST_EARNS 100
/* Most retries that a node can save up, so that a burst stays small. */
#define BUDGET_MAX (10 * RETRY_COST)
/* A quiet node gets one retry a second: 0.6% of the load of 580 nodes with
 * 100,000 requests a second. */
#define RESERVE_INTERVAL_US BB_US_PER_S

struct bb_retry_limits bb_retry_limits_default(void)
{
	return (struct bb_retry_limits){
		.first_attempt_tokens = FIRST_EARNS,
		.max_tokens = BUDGET_MAX,
		.initial_tokens = BUDGET_MAX,
		.reserve_interval_us = RESERVE_INTERVAL_US,
	};
}

struct bb_retry_limits bb_retry_limits_of_fleet(uint32_t percent,
						uint32_t slack, size_t hosts)
{
	int64_t share = (int64_t)slack * RETRY_COST / (int64_t)hosts;

	return (struct bb_retry_limits){
		.first_attempt_tokens = (int64_t)percent * RETRY_COST / 100,
		.max_tokens = share > RETRY_COST ? share : RETRY_COST,
		.reserve_interval_us = INT64_MAX,
	};
}

void bb_retry_budget_init(struct bb_retry_budget *b,
			  const struct bb_retry_limits *limits, int64_t now_us)
{
	b->limits = *limits;
	b->tokens = limits->initial_tokens;
	b->refilled_us = now_us;
}

static void earn(struct bb_retry_budget *b, int64_t tokens)
{
	for (;;) {
		int64_t old = (int64_t)ck_pr_load_64((uint64_t *)&b->tokens);
		int64_t sum = old + tokens;

		if (sum > b->limits.max_tokens)
			sum = b->limits.max_tokens;
		if (sum == old || ck_pr_cas_64((uint64_t *)&b->tokens,
					       (uint64_t)old, (uint64_t)sum))
			return;
	}
}

void bb_retry_budget_deposit(struct bb_retry_budget *b)
{
	earn(b, b->limits.first_attempt_tokens);
}

static void refill(struct bb_retry_budget *b, int64_t now_us)
{
	int64_t last = (int64_t)ck_pr_load_64((uint64_t *)&b->refilled_us);
	int64_t interval_us = b->limits.reserve_interval_us;
	int64_t n = (now_us - last) / interval_us;

	if (n <= 0 || !ck_pr_cas_64((uint64_t *)&b->refilled_us, (uint64_t)last,
				    (uint64_t)(last + n * interval_us)))
		return;
	if (n > b->limits.max_tokens / RETRY_COST)
		n = b->limits.max_tokens / RETRY_COST;
	earn(b, n * RETRY_COST);
}

static bool take(struct bb_retry_budget *b, int64_t cost, int64_t least)
{
	for (;;) {
		int64_t old = (int64_t)ck_pr_load_64((uint64_t *)&b->tokens);

		if (old < cost || old < least)
			return false;
		if (ck_pr_cas_64((uint64_t *)&b->tokens, (uint64_t)old,
				 (uint64_t)(old - cost)))
			return true;
	}
}

/* Whether another backend server may give a better answer. */
static enum bb_retry_class status_class(unsigned int status)
{
	switch (status) {
	case 500:
	case 502:
	case 504:
		return BB_RETRY_SERVER_ERROR;
	case 503:
		return BB_RETRY_OVERLOAD;
	default:
		return BB_RETRY_NEVER;
	}
}

/* What the reason alone says: whether another backend server can help. */
static enum bb_retry_class reason_class(enum bb_reason reason)
{
	switch (reason) {
	case BB_REASON_EJECTED:
	case BB_REASON_LEAVING:
	case BB_REASON_STOPPING:
	case BB_REASON_UNKNOWN_BACKEND:
	case BB_REASON_WRONG_INCARNATION:
		return BB_RETRY_REDIRECT;
	case BB_REASON_BACKEND_CONNECT:
	case BB_REASON_BACKEND_FAILED:
	case BB_REASON_BACKEND_TRUNCATED:
	case BB_REASON_BACKEND_REFUSED:
	case BB_REASON_MISDIRECTED:
	case BB_REASON_PEER_SILENT:
		return BB_RETRY_CHARGED;
	case BB_REASON_QUEUE_FULL:
		return BB_RETRY_OVERLOAD;
	default:
		return BB_RETRY_NEVER;
	}
}

enum bb_retry_class bb_retry_classify(const struct bb_retry_attempt *a,
				      int64_t now_us)
{
	enum bb_retry_class c;

	if (!a->idempotent && a->verdict != BB_VERDICT_NOT_RUN)
		return BB_RETRY_NEVER;
	if (a->attempts >= BB_RETRY_ATTEMPTS_MAX)
		return BB_RETRY_NEVER;
	if (a->deadline_us - now_us <= a->min_attempt_us)
		return BB_RETRY_NEVER;
	c = a->reason == BB_REASON_NONE ? status_class(a->status) :
					  reason_class(a->reason);
	/* Nothing was sent to a backend server, so none was loaded. */
	if (a->verdict == BB_VERDICT_NOT_RUN &&
	    a->reason == BB_REASON_PEER_SILENT)
		return BB_RETRY_REDIRECT;
	/* A lost refusal may hide work that was done, so it is not free. */
	if (c == BB_RETRY_REDIRECT && a->verdict != BB_VERDICT_NOT_RUN)
		return BB_RETRY_CHARGED;
	if (c == BB_RETRY_OVERLOAD && a->attempts > 1)
		return BB_RETRY_NEVER;
	return c;
}

enum bb_retry_decision bb_retry_decide(struct bb_retry_budget *b,
				       const struct bb_retry_attempt *a,
				       int64_t now_us)
{
	int64_t half = b->limits.max_tokens / 2;
	int64_t overload = OVERLOAD_COST < b->limits.max_tokens ?
				   OVERLOAD_COST :
				   b->limits.max_tokens;
	bool paid = true;

	switch (bb_retry_classify(a, now_us)) {
	case BB_RETRY_REDIRECT:
		break;
	case BB_RETRY_CHARGED:
		refill(b, now_us);
		paid = take(b, RETRY_COST, 0);
		break;
	case BB_RETRY_OVERLOAD:
		refill(b, now_us);
		paid = take(b, overload, half);
		break;
	case BB_RETRY_SERVER_ERROR:
		refill(b, now_us);
		paid = take(b, RETRY_COST, half);
		break;
	default:
		return BB_RETRY_NO;
	}
	if (!paid) {
		bb_metrics_add(BB_METRIC_RETRIES_OVER_BUDGET, 1);
		return BB_RETRY_OVER_BUDGET;
	}
	bb_metrics_add(BB_METRIC_RETRIES, 1);
	return BB_RETRY_YES;
}
