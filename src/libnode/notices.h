/*
 * What backend servers said of themselves in their answers, as a node knows it.
 *
 * Kept apart from the configuration: an entry that leaves the registry and
 * returns is still the same backend server, and what it said still holds. A
 * backend server that starts again under its name has said nothing yet; its
 * starts are told apart, and not ordered, by the time of day that it gives.
 *
 * Used by the traffic thread only.
 */
#ifndef BB_NODE_NOTICES_H
#define BB_NODE_NOTICES_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/notice.h"

/**
 * struct bb_notice_record - what one backend server said since one start.
 * @last: notice in its last answer
 * @leaving: it said that it is leaving
 * @limit_per_s: requests per second that it accepts, negative for no limit
 * @limit_named_us: when an answer last named a limit
 * @answered: it answered a request of this node, its adjacent node
 * @used_us: when the record was last looked up
 */
struct bb_notice_record {
	struct bb_notice last;
	bool leaving;
	double limit_per_s;
	int64_t limit_named_us;
	bool answered;
	int64_t used_us;
};

struct bb_notices;

struct bb_notices *bb_notices_new(void);
void bb_notices_delete(struct bb_notices *n);

/**
 * bb_notices_get() - find or add the record of a backend server.
 * @n: records
 * @backend: its name
 * @started_ms: when it started, 0 if unknown
 * @now_us: current time
 *
 * Return: record of that start, valid until the next call; never NULL.
 */
struct bb_notice_record *bb_notices_get(struct bb_notices *n,
					const char *backend, double started_ms,
					int64_t now_us);

/**
 * bb_notices_take() - apply the notice in an answer.
 * @r: record of the backend server
 * @notice: the notice
 * @sent_us: when the request was sent
 * @now_us: current time
 *
 * A limit holds until the answer to a later request names none. Answers arrive
 * out of order, so that one to an earlier request does not withdraw it.
 *
 * Return: true if the notice differs from the one in the last answer.
 */
bool bb_notices_take(struct bb_notice_record *r, const struct bb_notice *notice,
		     int64_t sent_us, int64_t now_us);

/**
 * bb_notices_limit() - limit that a backend server named.
 * @n: records
 * @backend: its name
 * @started_ms: when it started, 0 if unknown
 *
 * Return: requests per second that it accepts, negative for no limit.
 */
double bb_notices_limit(const struct bb_notices *n, const char *backend,
			double started_ms);

/**
 * bb_notices_is_leaving() - whether a backend server said that it is leaving.
 * @n: records
 * @backend: its name
 * @started_ms: when it started, 0 if unknown
 */
bool bb_notices_is_leaving(const struct bb_notices *n, const char *backend,
			   double started_ms);

#endif
