#include "baobabward/retry.h"

#include <ck_pr.h>

#include "baobabward/clock.h"
#include "baobabward/metrics.h"

/* Tokens of one retry; a token is a thousandth of a retry. */
#define RETRY_TOKENS 1000
#define OVERLOAD_RETRY_TOKENS (2 * RETRY_TOKENS)
/*
 * Tokens of a retry after a failure at once. A failed run made no calls, so that
 * its repetition needs no margin for repeated calls, for which the platform's
 * adapter keeps back a quarter of the bound on retries. With 95 nodes a budget
 * holds two of them; at 800, two thirds of the failed lookups lacked the second.
 */
#define AT_ONCE_RETRY_TOKENS (RETRY_TOKENS * 3 / 4)
/* Tokens of a retry after a full queue that leaves tokens for failures. The
 * refusal came from a node and loaded no backend server. */
#define QUEUE_FULL_RETRY_TOKENS (RETRY_TOKENS / 2)
/* Share of failures from which the service as a whole counts as failing. With
 * 30% of the backend servers in a failure period it is about 255. */
#define FAILING_PERMILLE 500
/* Weight of an attempt in that share: 1 of so many. */
#define FAILING_GAIN 16
/* A first attempt adds 10% of a retry. */
#define DEFAULT_FIRST_ATTEMPT_TOKENS 100
/* Limit on unused tokens, which keeps bursts of retries small. */
#define DEFAULT_MAX_TOKENS (10 * RETRY_TOKENS)
/* A node's part of a fleet's slack up to which all of it is saved up. First
 * attempts fill so few tokens again soon, and failures come in bursts. */
#define SAVED_MIN_TOKENS (4 * RETRY_TOKENS)
/* A node gets one retry per second, also without requests. That is 0.6% of the
 * load for 580 nodes with 100,000 requests per second. */
#define DEFAULT_RESERVE_INTERVAL_US BB_US_PER_S

struct bb_retry_limits bb_retry_limits_default(void)
{
	return (struct bb_retry_limits){
		.first_attempt_tokens = DEFAULT_FIRST_ATTEMPT_TOKENS,
		.max_tokens = DEFAULT_MAX_TOKENS,
		.initial_tokens = DEFAULT_MAX_TOKENS,
		.reserve_interval_us = DEFAULT_RESERVE_INTERVAL_US,
	};
}

struct bb_retry_limits
bb_retry_limits_of_fleet(const struct bb_retry_fleet_limits *f)
{
	int64_t share = (int64_t)f->slack * RETRY_TOKENS / (int64_t)f->hosts;
	int64_t saved = share;
	struct bb_retry_limits l;
	int64_t granted;

	if (f->window_us && share > SAVED_MIN_TOKENS)
		saved = share / 2 > SAVED_MIN_TOKENS ? share / 2 :
						       SAVED_MIN_TOKENS;
	l = (struct bb_retry_limits){
		.first_attempt_tokens =
			(int64_t)f->percent * RETRY_TOKENS / 100,
		.max_tokens = saved > RETRY_TOKENS ? saved : RETRY_TOKENS,
		.reserve_interval_us = INT64_MAX,
	};
	/* A window may begin just before a grant and end just after one. */
	granted = share - l.max_tokens - RETRY_TOKENS;

	if (f->window_us && granted > 0)
		l.reserve_interval_us = f->window_us * RETRY_TOKENS / granted;
	return l;
}

void bb_retry_budget_init(struct bb_retry_budget *b,
			  const struct bb_retry_limits *limits, int64_t now_us)
{
	b->limits = *limits;
	b->tokens = limits->initial_tokens;
	b->refilled_us = now_us;
	b->failing_permille = 0;
}

/* Adds tokens up to the limit. */
static void add_tokens(struct bb_retry_budget *b, int64_t tokens)
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
	uint32_t f = ck_pr_load_32(&b->failing_permille);

	ck_pr_store_32(&b->failing_permille, f - f / FAILING_GAIN);
	add_tokens(b, b->limits.first_attempt_tokens);
}

/* Counts a failure at once; true if the service as a whole does not fail. */
static bool count_failure(struct bb_retry_budget *b)
{
	uint32_t f = ck_pr_load_32(&b->failing_permille);

	f += 1000 / FAILING_GAIN;
	ck_pr_store_32(&b->failing_permille, f);
	return f < FAILING_PERMILLE;
}

/* Adds the reserve for the time since the last call. */
static void add_reserve(struct bb_retry_budget *b, int64_t now_us)
{
	int64_t last = (int64_t)ck_pr_load_64((uint64_t *)&b->refilled_us);
	int64_t interval_us = b->limits.reserve_interval_us;
	int64_t n = (now_us - last) / interval_us;

	if (n <= 0 || !ck_pr_cas_64((uint64_t *)&b->refilled_us, (uint64_t)last,
				    (uint64_t)(last + n * interval_us)))
		return;
	if (n > b->limits.max_tokens / RETRY_TOKENS)
		n = b->limits.max_tokens / RETRY_TOKENS;
	add_tokens(b, n * RETRY_TOKENS);
}

/* Takes @cost tokens unless fewer than that or than @min_tokens are left. */
static bool take_tokens(struct bb_retry_budget *b, int64_t cost,
			int64_t min_tokens)
{
	for (;;) {
		int64_t old = (int64_t)ck_pr_load_64((uint64_t *)&b->tokens);

		if (old < cost || old < min_tokens)
			return false;
		if (ck_pr_cas_64((uint64_t *)&b->tokens, (uint64_t)old,
				 (uint64_t)(old - cost)))
			return true;
	}
}

/* Class by status code: whether another backend server may answer better. */
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

/* Class by reason: whether another backend server may run the request. */
static enum bb_retry_class reason_class(enum bb_reason reason)
{
	switch (reason) {
	case BB_REASON_EJECTED:
	case BB_REASON_LEAVING:
	case BB_REASON_STOPPING:
	case BB_REASON_UNKNOWN_BACKEND:
	case BB_REASON_WRONG_INCARNATION:
	case BB_REASON_PEER_LIMIT:
		return BB_RETRY_REDIRECT;
	case BB_REASON_BACKEND_CONNECT:
	case BB_REASON_BACKEND_FAILED:
	case BB_REASON_BACKEND_TRUNCATED:
	case BB_REASON_BACKEND_REFUSED:
	case BB_REASON_MISDIRECTED:
	case BB_REASON_PEER_SILENT:
		return BB_RETRY_CHARGED;
	case BB_REASON_QUEUE_FULL:
	case BB_REASON_BODY_MEMORY:
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
	/* The request was not sent to a backend server, so none was loaded. */
	if (a->verdict == BB_VERDICT_NOT_RUN &&
	    a->reason == BB_REASON_PEER_SILENT)
		return BB_RETRY_REDIRECT;
	/* If the refusal was lost, the request may have loaded the backend
	 * server, so the retry is charged. */
	if (c == BB_RETRY_REDIRECT && a->verdict != BB_VERDICT_NOT_RUN)
		return BB_RETRY_CHARGED;
	if (c == BB_RETRY_OVERLOAD && a->attempts > 1)
		return BB_RETRY_NEVER;
	return c;
}

/*
 * Takes the tokens of a retry for overload that leaves those of a failure at
 * once, or all that fit into the budget.
 */
static bool take_overload_tokens(struct bb_retry_budget *b,
				 const struct bb_retry_attempt *a)
{
	bool queue = a->reason == BB_REASON_QUEUE_FULL;
	int64_t cost = queue ? QUEUE_FULL_RETRY_TOKENS : RETRY_TOKENS;
	int64_t needed = cost + AT_ONCE_RETRY_TOKENS;

	return take_tokens(
		b, cost,
		needed < b->limits.max_tokens ? needed : b->limits.max_tokens);
}

enum bb_retry_decision bb_retry_decide(struct bb_retry_budget *b,
				       const struct bb_retry_attempt *a,
				       int64_t now_us)
{
	int64_t half = b->limits.max_tokens / 2;
	int64_t overload_cost = OVERLOAD_RETRY_TOKENS < b->limits.max_tokens ?
					OVERLOAD_RETRY_TOKENS :
					b->limits.max_tokens;
	bool allowed = true;

	switch (bb_retry_classify(a, now_us)) {
	case BB_RETRY_REDIRECT:
		break;
	case BB_RETRY_CHARGED:
		add_reserve(b, now_us);
		allowed = take_tokens(b, RETRY_TOKENS, 0);
		break;
	case BB_RETRY_OVERLOAD:
		add_reserve(b, now_us);
		allowed = a->spare_failures ?
				  take_overload_tokens(b, a) :
				  take_tokens(b, overload_cost, half);
		break;
	case BB_RETRY_SERVER_ERROR:
		add_reserve(b, now_us);
		allowed = a->at_once && count_failure(b) ?
				  take_tokens(b, AT_ONCE_RETRY_TOKENS, 0) :
				  take_tokens(b, RETRY_TOKENS, half);
		break;
	default:
		return BB_RETRY_NO;
	}
	if (!allowed) {
		bb_metrics_add(BB_METRIC_RETRIES_OVER_BUDGET, 1);
		return BB_RETRY_OVER_BUDGET;
	}
	bb_metrics_add(BB_METRIC_RETRIES, 1);
	return BB_RETRY_YES;
}
