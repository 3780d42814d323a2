/*
 * Cold time of a backend server: the rate at which its adjacent node may start
 * requests there.
 *
 * Load pattern: backend servers that have just started, or that became cold again
 * while they were busy, and the 24 backend servers of an availability zone that
 * take requests again all at once after an evacuation. A cold backend server
 * takes a few requests per second and crashes well above that rate.
 *
 * The adjacent node is the only sender of requests to a backend server, so that
 * the rate holds for the whole fleet without an exchange between nodes. How long
 * the backend server stays cold is told by its registration, seconds late, and by
 * its answers to health checks. Where what was known may no longer hold, the
 * backend server is assumed to be cold until one health check tells.
 *
 * No I/O and no locks; used by one thread. Times are microseconds of the caller's
 * monotonic clock.
 */
#ifndef BAOBABWARD_WARMUP_H
#define BAOBABWARD_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest cold time that is believed, so that one wrong value does not keep a
 * backend server out of use. */
#define BB_WARMUP_MAX_US (INT64_C(1000) * BB_WARMUP_MAX_MS)

/**
 * struct bb_warmup_terms - what a cold backend server takes.
 * @cold_us: time for which it is cold after a start, 0 for the default of 3 s
 * @rate_per_s: requests per second that it takes while it is cold, 0 for no limit
 * @second_max: most requests that may reach it in any second while it is cold, 0
 *              for one and a half times @rate_per_s
 */
struct bb_warmup_terms {
	int64_t cold_us;
	double rate_per_s;
	double second_max;
};

/**
 * enum bb_warmup_source - what the end of the cold time is known from.
 * @BB_WARMUP_NONE: nothing told of a cold time
 * @BB_WARMUP_ASSUMED: nothing; it may be cold at most that long
 * @BB_WARMUP_REGISTERED: a registration
 * @BB_WARMUP_ANSWERED: an answer of the backend server
 */
enum bb_warmup_source {
	BB_WARMUP_NONE,
	BB_WARMUP_ASSUMED,
	BB_WARMUP_REGISTERED,
	BB_WARMUP_ANSWERED,
	BB_WARMUP_SOURCE_COUNT
};

extern const char *const bb_warmup_source_string[];

/**
 * struct bb_warmup - state of one backend server; all zero is never cold.
 * @terms: what it takes while it is cold
 * @source: what @cold_until_us is known from
 * @cold_until_us: end of the cold time, unless @source is BB_WARMUP_NONE
 * @assumed_us: when it was last assumed to be cold
 * @registered_until_us: end of the cold time that the last registration told
 * @down: it refused the last connection, so that the cold time has not begun
 * @breaks: connections to it that broke since it last answered
 * @check_wanted: a health check is to tell whether it is cold
 * @checking: the check was sent
 * @check_sent_us: when it was sent
 * @next_check_us: earliest time of the next check
 * @check_interval_us: time between the last check and the next one
 */
struct bb_warmup {
	struct bb_warmup_terms terms;
	enum bb_warmup_source source;
	int64_t cold_until_us;
	int64_t assumed_us;
	int64_t registered_until_us;
	bool down;
	uint32_t breaks;
	bool check_wanted;
	bool checking;
	int64_t check_sent_us;
	int64_t next_check_us;
	int64_t check_interval_us;
};

/**
 * bb_warmup_started() - begin with a backend server that is not known yet: at a
 * start of the node, or of the backend server under its name.
 * @w: state; a former start is forgotten, but not when the last check was sent
 * @terms: what it takes while it is cold
 * @registered_until_us: end of the cold time that its registration tells, 0 if it
 *                       tells none
 * @now_us: current time
 *
 * It is assumed to be cold unless the registration says so itself.
 */
void bb_warmup_started(struct bb_warmup *w, const struct bb_warmup_terms *terms,
		       int64_t registered_until_us, int64_t now_us);

/**
 * bb_warmup_registered() - apply a registration of the same start.
 * @w: state
 * @until_us: end of the cold time that it tells, 0 if it tells none
 * @now_us: current time
 *
 * A registration that was not written again has no effect. One that tells of no
 * cold time does not end a known or assumed one, since it may have been written
 * before that began.
 */
void bb_warmup_registered(struct bb_warmup *w, int64_t until_us,
			  int64_t now_us);

/**
 * bb_warmup_assume() - what is known no longer holds, for example at the end of
 * an evacuation: it may be cold, and a check is to tell.
 */
void bb_warmup_assume(struct bb_warmup *w, int64_t now_us);

/**
 * bb_warmup_told() - apply what the backend server says of itself in an answer.
 * @w: state
 * @left_us: time for which it stays cold, 0 if it is not cold
 * @sent_us: when the request was sent; an answer to one that was sent before
 *           bb_warmup_assume() has no effect
 * @now_us: current time
 */
void bb_warmup_told(struct bb_warmup *w, int64_t left_us, int64_t sent_us,
		    int64_t now_us);

/**
 * bb_warmup_broke() - count a connection that broke or was refused.
 * @w: state
 * @refused: it was refused, so that no process listens
 * @now_us: current time
 *
 * The process may have ended and started again. One that broke alone, while
 * others go on, proves nothing. After one that was refused it counts as cold for
 * as long as it does not answer.
 */
void bb_warmup_broke(struct bb_warmup *w, bool refused, int64_t now_us);

/**
 * bb_warmup_served() - count a request that it answered.
 *
 * After a refused connection the cold time begins here at the latest.
 */
void bb_warmup_served(struct bb_warmup *w, int64_t now_us);

/**
 * bb_warmup_check_due() - whether to send a health check now.
 *
 * A check costs the backend server as much as a short request, so that one is
 * sent only after an assumption.
 */
bool bb_warmup_check_due(const struct bb_warmup *w, int64_t now_us);

/**
 * bb_warmup_check_sent() - the check was sent.
 */
void bb_warmup_check_sent(struct bb_warmup *w, int64_t now_us);

/**
 * bb_warmup_check_answered() - the check was answered.
 * @w: state
 * @left_us: as in bb_warmup_told()
 * @now_us: current time
 */
void bb_warmup_check_answered(struct bb_warmup *w, int64_t left_us,
			      int64_t now_us);

/**
 * bb_warmup_check_failed() - the check failed; another one follows later.
 * @w: state
 * @refused: the connection was refused: no process listens, and the next one
 *           begins cold
 * @now_us: current time
 */
void bb_warmup_check_failed(struct bb_warmup *w, bool refused, int64_t now_us);

/**
 * bb_warmup_is_cold() - whether it is, or may be, cold.
 */
bool bb_warmup_is_cold(const struct bb_warmup *w, int64_t now_us);

/**
 * bb_warmup_rate() - rate at which requests may start now.
 *
 * After the cold time it doubles in steps.
 *
 * Return: requests per second, for bb_queue_set_rate(); negative for no limit.
 */
double bb_warmup_rate(const struct bb_warmup *w, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
