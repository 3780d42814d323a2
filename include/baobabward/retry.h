/*
 * Retry decision and retry budget of an entry node.
 *
 * A request is sent again only if it is idempotent or certainly did not run,
 * and never after its deadline. Redirects (the chosen backend server takes no
 * requests for now, and another one may) load no backend server and are limited
 * by the number of attempts only. Every other retry is charged to the budget: a
 * share of the first attempts plus a small reserve. A full queue is a sign of
 * overload: a request gets at most one such retry, at twice the cost, and only
 * while the budget is at least half full. An answer with a server error may be
 * retried for a better one, but only while the budget is at least half full, so
 * that half of it is left for requests that got no answer at all.
 *
 * Where nodes report the state of their backend servers, an error that came at
 * once is taken as a failure period of that backend server, unless the service
 * as a whole fails. Load pattern: 30% of the backend servers fail 85% of their
 * requests for some seconds. Such a retry needs no half-full budget and costs
 * less, and retries for overload leave one for it.
 */
#ifndef BAOBABWARD_RETRY_H
#define BAOBABWARD_RETRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Limit on the attempts of one request, the first one included. */
#define BB_RETRY_ATTEMPTS_MAX 3

/**
 * enum bb_retry_class - whether and how a failed attempt may be retried.
 * @BB_RETRY_NEVER: report the failure
 * @BB_RETRY_REDIRECT: choose another backend server, at no cost
 * @BB_RETRY_CHARGED: retry if the budget allows it
 * @BB_RETRY_OVERLOAD: retry once, at twice the cost, while the budget is at
 *                     least half full
 * @BB_RETRY_SERVER_ERROR: the backend server answered with an error; retry
 *                         while the budget is at least half full
 */
enum bb_retry_class {
	BB_RETRY_NEVER,
	BB_RETRY_REDIRECT,
	BB_RETRY_CHARGED,
	BB_RETRY_OVERLOAD,
	BB_RETRY_SERVER_ERROR,
	BB_RETRY_CLASS_COUNT
};

/**
 * enum bb_retry_decision - decision after a failed attempt.
 * @BB_RETRY_NO: report the failure
 * @BB_RETRY_YES: send again to another backend server
 * @BB_RETRY_OVER_BUDGET: report the failure; the budget does not allow a retry
 */
enum bb_retry_decision {
	BB_RETRY_NO,
	BB_RETRY_YES,
	BB_RETRY_OVER_BUDGET,
};

/**
 * struct bb_retry_limits - limits of a budget. A token is a thousandth of a
 * retry.
 * @first_attempt_tokens: tokens added for each first attempt
 * @max_tokens: limit on unused tokens, which keeps bursts of retries small
 * @initial_tokens: tokens at the start of a node
 * @reserve_interval_us: interval at which one retry is added, also without
 *                       requests
 */
struct bb_retry_limits {
	int64_t first_attempt_tokens;
	int64_t max_tokens;
	int64_t initial_tokens;
	int64_t reserve_interval_us;
};

/**
 * bb_retry_limits_default() - limits of a node with a budget of its own.
 *
 * Return: 10% of the first attempts and one retry a second.
 */
struct bb_retry_limits bb_retry_limits_default(void);

/**
 * struct bb_retry_fleet_limits - limits on the retries of a whole fleet.
 * @percent: share of the first attempts that may be retried
 * @slack: retries beyond that share, in any time of @window_us
 * @window_us: see @slack; 0 if @slack may be used only once, by the requests
 *             that follow
 * @hosts: number of nodes that share @slack, at least 1
 */
struct bb_retry_fleet_limits {
	uint32_t percent;
	uint32_t slack;
	int64_t window_us;
	size_t hosts;
};

/**
 * bb_retry_limits_of_fleet() - a node's part of limits on the whole fleet.
 * @f: limits of the fleet
 *
 * A node may save up its part of the slack. With a window, it saves up half of a
 * part of more than a few retries and is granted the other half evenly over each
 * window, so that both together are within it. In fleets with more hosts than
 * slack, each node may still retry once.
 *
 * Return: limits without initial tokens, since a node that restarts often would
 * get them each time.
 */
struct bb_retry_limits
bb_retry_limits_of_fleet(const struct bb_retry_fleet_limits *f);

/**
 * struct bb_retry_budget - token bucket for the retries of a node; shared by
 * all its threads.
 * @tokens: tokens left, in thousandths of a retry
 * @refilled_us: time up to which the reserve was added
 * @failing_permille: moving share of attempts that failed at once
 * @limits: may be replaced by the thread that decides on retries
 *
 * Initialize with bb_retry_budget_init(). @tokens, @refilled_us and
 * @failing_permille are accessed atomically.
 */
struct bb_retry_budget {
	int64_t tokens;
	int64_t refilled_us;
	uint32_t failing_permille;
	struct bb_retry_limits limits;
};

/**
 * struct bb_retry_attempt - a failed attempt.
 * @idempotent: whether the route is idempotent
 * @verdict: whether the attempt ran
 * @reason: why it failed; BB_REASON_NONE if the backend server answered
 * @attempts: attempts made so far, at least 1
 * @deadline_us: deadline of the request
 * @min_attempt_us: there is no further attempt unless more time than this is
 *                  left before the deadline
 * @status: status code of the backend server's answer; used if @reason is
 *          BB_REASON_NONE
 * @spare_failures: retries for overload leave tokens for failures at once
 * @at_once: the answer came at once, as in a failure period of a backend server
 */
struct bb_retry_attempt {
	bool idempotent;
	enum bb_verdict verdict;
	enum bb_reason reason;
	uint32_t attempts;
	int64_t deadline_us;
	int64_t min_attempt_us;
	unsigned int status;
	bool spare_failures;
	bool at_once;
};

/**
 * bb_retry_budget_init() - initialize a budget with its initial tokens.
 * @b: budget
 * @limits: copied
 * @now_us: current time
 */
void bb_retry_budget_init(struct bb_retry_budget *b,
			  const struct bb_retry_limits *limits, int64_t now_us);

/**
 * bb_retry_budget_deposit() - add the tokens for a first attempt; safe from any
 * thread.
 * @b: budget
 */
void bb_retry_budget_deposit(struct bb_retry_budget *b);

/**
 * bb_retry_classify() - how a failed attempt may be retried, without regard to
 * the budget.
 * @a: the attempt
 * @now_us: current time
 *
 * Return: class; BB_RETRY_NEVER if a second execution could result.
 */
enum bb_retry_class bb_retry_classify(const struct bb_retry_attempt *a,
				      int64_t now_us);

/**
 * bb_retry_decide() - decide and charge the budget; safe from any thread.
 * @b: budget
 * @a: the attempt
 * @now_us: current time
 *
 * Return: decision; retries, and those over budget, are counted in the metrics.
 */
enum bb_retry_decision bb_retry_decide(struct bb_retry_budget *b,
				       const struct bb_retry_attempt *a,
				       int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
