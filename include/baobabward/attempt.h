/*
 * Attempts of one request at its entry node: which backend server is next,
 * whether the request may wait there, and whether another attempt follows.
 *
 * When most slots are taken, a request that waits at the first backend server
 * would queue there while another one has a free slot. The first attempts
 * therefore only search for a free slot, at the cost of a round trip each; a
 * later one waits at the backend server that reported the lowest load. A
 * backend server that takes no requests for now (ejected, leaving, breaker
 * open) redirects the request, which loads no backend server; redirects are
 * limited in number only. After any other failure, the next attempt is charged
 * to the retry budget.
 *
 * Where nodes report the state of their backend servers, an attempt may turn out
 * to be useless before it is sent. It is withheld, and another backend server is
 * chosen; that counts neither as a redirect nor as an attempt.
 *
 * The state is in the structs of the caller; times are microseconds of the
 * caller's monotonic clock.
 */
#ifndef BAOBABWARD_ATTEMPT_H
#define BAOBABWARD_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/balance.h"
#include "baobabward/retry.h"
#include "baobabward/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Limit on the attempts of a request, redirects and slot searches included. */
#define BB_ATTEMPTS_MAX 16

/**
 * struct bb_attempt_limits - limits on the attempts of a request.
 * @idempotent: it may run more than once
 * @max_backends_reached: attempts that may reach a backend server, 0 if the
 *                        request has no such limit
 * @max_slot_searches: backend servers asked for a free slot before it waits
 * @use_reports: nodes report the state of their backend servers; failures at
 *               once are retried like in a failure period, see retry.h
 * @deadline_us: deadline of the request
 * @placement: its expected cost and size, NULL for a choice by load only
 */
struct bb_attempt_limits {
	bool idempotent;
	uint32_t max_backends_reached;
	uint32_t max_slot_searches;
	bool use_reports;
	int64_t deadline_us;
	const struct bb_placement *placement;
};

/**
 * struct bb_attempt_history - attempts so far; all zero before the first.
 * @nr: attempts, the current one included
 * @backends: handle of the backend server of each attempt
 * @had_no_slot: for each attempt, whether its slot search found no free slot
 * @redirects: attempts that put no load on a backend server, failed slot
 *             searches included
 * @failed_searches: slot searches that found no free slot
 * @withheld: attempts that were not sent
 * @withheld_redirects: those of them that would have been redirected
 * @withheld_searches: those of them that were searches for a free slot
 * @backends_reached: attempts that may have reached a backend server
 * @last_resort: the current attempt goes to a backend server although it
 *               redirects requests
 * @may_wait: the current attempt may wait for a slot; otherwise it is a search
 *            for a free one
 * @verdict: whether any of the attempts may have run the request
 */
struct bb_attempt_history {
	uint32_t nr;
	uint32_t backends[BB_ATTEMPTS_MAX];
	bool had_no_slot[BB_ATTEMPTS_MAX];
	uint32_t redirects;
	uint32_t failed_searches;
	uint32_t withheld;
	uint32_t withheld_redirects;
	uint32_t withheld_searches;
	uint32_t backends_reached;
	bool last_resort;
	bool may_wait;
	enum bb_verdict verdict;
};

/**
 * bb_attempt_choose() - choose the backend server of the next attempt.
 * @m: attempts so far; the choice is added
 * @r: limits
 * @b: load balancer of the service
 * @now_us: current time
 *
 * Return: choice, with BB_NO_ROW when no backend server is left.
 */
struct bb_choice bb_attempt_choose(struct bb_attempt_history *m,
				   const struct bb_attempt_limits *r,
				   struct bb_balance *b, int64_t now_us);

/**
 * bb_attempt_withhold() - whether the current attempt, which is not sent yet, is
 * useless by the load of its backend server.
 * @m: attempts so far; updated
 * @r: limits
 * @load: recent load of the backend server
 * @slots: slots of the backend server by the configuration
 * @now_us: current time
 *
 * It is useless if the backend server asks to be avoided, if the request may not
 * wait and no slot is free, or if the backend server takes only trials and the
 * request is not idempotent or has failed before. At most twice as many attempts
 * are withheld as slot searches and redirects would be made.
 *
 * Return: why it is withheld, so that another backend server is to be chosen;
 * BB_REASON_NONE if it is to be sent.
 */
enum bb_reason bb_attempt_withhold(struct bb_attempt_history *m,
				   const struct bb_attempt_limits *r,
				   const struct bb_load *load, uint32_t slots,
				   int64_t now_us);

/**
 * struct bb_attempt_outcome - how an attempt ended.
 * @verdict: whether it ran
 * @reason: why it failed; BB_REASON_NONE if the backend server answered
 * @status: HTTP status code of that answer
 * @took_us: time from sending it to that answer
 */
struct bb_attempt_outcome {
	enum bb_verdict verdict;
	enum bb_reason reason;
	unsigned int status;
	int64_t took_us;
};

/**
 * bb_attempt_found_no_slot() - whether the current attempt was a slot search
 * that found no free slot, with enough time left for another attempt.
 * @m: attempts so far
 * @r: limits
 * @e: outcome of the current attempt
 * @now_us: current time
 */
bool bb_attempt_found_no_slot(const struct bb_attempt_history *m,
			      const struct bb_attempt_limits *r,
			      const struct bb_attempt_outcome *e,
			      int64_t now_us);

/**
 * bb_attempt_decide_retry() - record the outcome of the current attempt and
 * decide whether another one follows.
 * @m: attempts so far; the outcome is added
 * @r: limits
 * @e: outcome of the current attempt
 * @budget: retry budget of the service, charged for a retry; NULL if no attempt
 *          may follow
 * @now_us: current time
 *
 * Return: true if another attempt follows.
 */
bool bb_attempt_decide_retry(struct bb_attempt_history *m,
			     const struct bb_attempt_limits *r,
			     const struct bb_attempt_outcome *e,
			     struct bb_retry_budget *budget, int64_t now_us);

/**
 * bb_attempt_count_without_redirects() - attempts that count against
 * BB_RETRY_ATTEMPTS_MAX, the current one included.
 */
uint32_t bb_attempt_count_without_redirects(const struct bb_attempt_history *m);

#ifdef __cplusplus
}
#endif
#endif
