/*
 * What a backend server says of itself in its answers: the rate of requests
 * that it accepts, that it is leaving, and for how long it stays cold.
 *
 * A dialect decodes it from the headers of an answer, see dialect.h.
 */
#ifndef BAOBABWARD_NOTICE_H
#define BAOBABWARD_NOTICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum bb_limit_kind - what an answer says of a limit.
 * @BB_LIMIT_NONE: nothing; a limit of earlier answers no longer holds
 * @BB_LIMIT_NAMED: there is one
 * @BB_LIMIT_UNREADABLE: there is one that cannot be decoded; what earlier
 *                       answers said still holds
 */
enum bb_limit_kind { BB_LIMIT_NONE, BB_LIMIT_NAMED, BB_LIMIT_UNREADABLE };

/**
 * struct bb_notice - notice in one answer; all zero says nothing.
 * @limit: what it says of a limit
 * @limit_per_s: requests per second that the backend server accepts from all
 *               nodes together, at least 0, if @limit is BB_LIMIT_NAMED
 * @leaving: the backend server is leaving and should get no new requests
 * @tells_warmup: it says for how long it stays cold
 * @warmup_us: time for which it stays cold, if @tells_warmup
 * @unreadable: number of values that cannot be decoded
 */
struct bb_notice {
	enum bb_limit_kind limit;
	double limit_per_s;
	bool leaving;
	bool tells_warmup;
	int64_t warmup_us;
	unsigned int unreadable;
};

/**
 * bb_notice_decode_fn() - decode the notice in the headers of an answer.
 * @headers: headers of the answer; untrusted
 * @nr: number of @headers
 */
typedef struct bb_notice bb_notice_decode_fn(const struct bb_header *headers,
					     size_t nr);

#ifdef __cplusplus
}
#endif
#endif
