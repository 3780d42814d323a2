/*
 * Circuit breaker of one backend server, kept by its adjacent node.
 *
 * A backend server that fails most requests for some seconds answers them at
 * once, so that it looks idle and attracts the requests of all entry nodes. The
 * first failure therefore opens the breaker for a short time. After that, one
 * request at a time is admitted as a trial, and each further failure doubles
 * the open time up to a bound.
 *
 * The breaker only redirects requests: one that has no other backend server
 * left is admitted although the breaker is open. Ejection (health.h) needs
 * evidence over a longer time and respects the floor, the share of a service's
 * capacity that must remain.
 *
 * Where nodes report the state of their backend servers (@reported), only
 * requests that can be sent again serve as trials at first, entry nodes are told
 * while a trial runs, and a breaker that closed by a trial that succeeded by
 * chance starts again with the open time that it had reached.
 *
 * No I/O and no locks; a breaker is used by one thread. Times are microseconds
 * of the caller's monotonic clock.
 */
#ifndef BAOBABWARD_BREAKER_H
#define BAOBABWARD_BREAKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct bb_breaker - state of one breaker; all zero is closed.
 * @open_until_us: no request is admitted before, when @failures is not 0
 * @failures: consecutive failures, 0 when closed
 * @trial_running: a trial request has no outcome yet
 * @trial_started_us: when the trial was admitted
 * @last_failure_us: when the last failure was recorded
 * @reported: nodes report the state of their backend servers; set by the caller
 * @former_failures: @failures before the breaker was closed last
 */
struct bb_breaker {
	int64_t open_until_us;
	uint32_t failures;
	bool trial_running;
	int64_t trial_started_us;
	int64_t last_failure_us;
	bool reported;
	uint32_t former_failures;
};

/**
 * bb_breaker_admit() - whether a request may go to the backend server.
 * @b: breaker
 * @idempotent: the request can be repeated elsewhere; preferred as a trial
 * @last_resort: admit the request anyway, as no other backend server is left
 * @now_us: current time
 *
 * Return: true if the request may be sent. The caller reports its outcome,
 * since it may be the trial.
 */
bool bb_breaker_admit(struct bb_breaker *b, bool idempotent, bool last_resort,
		      int64_t now_us);

/**
 * bb_breaker_succeeded() - the backend server answered a request.
 * @b: breaker
 * @started_us: when the request was sent; the success is ignored if that was
 *              before the last failure, since it says nothing of the time after
 */
void bb_breaker_succeeded(struct bb_breaker *b, int64_t started_us);

/**
 * bb_breaker_failed() - a request failed because of the backend server.
 * @b: breaker
 * @started_us: when the request was sent
 * @now_us: current time
 *
 * Failures of requests that were sent before the breaker opened count as one.
 */
void bb_breaker_failed(struct bb_breaker *b, int64_t started_us,
		       int64_t now_us);

/**
 * bb_breaker_trial_dropped() - a request was not sent after all.
 * @b: breaker
 * @admitted_us: when it was admitted
 *
 * If it was the trial, another one is admitted, where nodes report the state of
 * their backend servers: these avoid a backend server while a trial runs.
 */
void bb_breaker_trial_dropped(struct bb_breaker *b, int64_t admitted_us);

/**
 * bb_breaker_is_stalled() - detect a hanging backend server from its running
 * requests, before their deadlines expire.
 * @ages_us: how long each request has been running
 * @nr: number of @ages_us
 * @service_us: mean service time of a request
 * @since_response_us: time since the last response
 *
 * Return: true if at least two requests exceed a multiple of the mean service
 * time, or one does and no response arrived for as long.
 */
bool bb_breaker_is_stalled(const int64_t *ages_us, size_t nr,
			   int64_t service_us, int64_t since_response_us);

/**
 * bb_breaker_open_us() - remaining time for which entry nodes should choose
 * other backend servers.
 *
 * Return: 0 if the breaker is closed or would admit a trial. With @reported also
 * some time while a trial runs.
 */
int64_t bb_breaker_open_us(const struct bb_breaker *b, int64_t now_us);

/**
 * bb_breaker_takes_trials() - whether one idempotent request at a time is
 * admitted, but no other.
 */
bool bb_breaker_takes_trials(const struct bb_breaker *b, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
