/*
 * The platform's list of live and leaving hosts: which host leaves, and when
 * to read the list again.
 *
 * The list lags and may be wrong. "leaving" is an order of the platform: it is
 * obeyed until a newer list calls the host live; a list that calls it dead or
 * leaves it out does not end the order. "dead" alone is never acted on, since a
 * node's own evidence of liveness is newer, and a host that no list has named
 * is not leaving. Lists are ordered by their sequence number; an older one
 * changes nothing.
 */
#ifndef BAOBABWARD_HOSTS_H
#define BAOBABWARD_HOSTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest list in bytes, as all values of the configuration service. */
#define BB_HOSTS_SIZE_MAX 1000000

/**
 * enum bb_host_state - what the newest list says of a host.
 * @BB_HOST_UNLISTED: nothing, or a state that this version does not know
 */
enum bb_host_state {
	BB_HOST_UNLISTED,
	BB_HOST_LIVE,
	BB_HOST_LEAVING,
	BB_HOST_DEAD,
	BB_HOST_STATE_COUNT
};

extern const char *const bb_host_state_string[];

/**
 * struct bb_hosts_options - surroundings of the list.
 * @random: spreads the reads of many nodes; owned by the caller
 * @period_us: mean time between two reads, at least 1
 * @backoff_max_us: longest time between reads while they fail
 * @configured: whether the configuration has the host; others are forgotten
 *              once a list leaves them out
 * @data: passed to @configured
 */
struct bb_hosts_options {
	GRand *random;
	int64_t period_us;
	int64_t backoff_max_us;
	bool (*configured)(void *data, const char *host);
	void *data;
};

struct bb_hosts;

/**
 * bb_hosts_new() - know nothing yet.
 * @o: copied
 * @now_us: clock; the first read is due within a period
 */
struct bb_hosts *bb_hosts_new(const struct bb_hosts_options *o, int64_t now_us);

/**
 * bb_hosts_delete() - free.
 * @h: list, may be NULL
 */
void bb_hosts_delete(struct bb_hosts *h);

/**
 * bb_hosts_read_due() - whether to begin a read now.
 * @h: list
 * @now_us: clock
 *
 * After true, the caller reports the end of the read by one of
 * bb_hosts_update(), bb_hosts_read_unchanged() and bb_hosts_read_failed().
 */
bool bb_hosts_read_due(struct bb_hosts *h, int64_t now_us);

/**
 * bb_hosts_update() - a list was read.
 * @h: list
 * @text: {"sequence": N, "hosts": [{"name": NAME, "state": STATE}, ...]}
 * @size: bytes of @text
 * @now_us: clock
 * @err: set on failure: BB_ERROR_STALE when it is not newer, which counts as a
 *       read without news, or BB_ERROR_INVALID, which counts as a failed read
 *
 * Return: 0 when it is in force, or -1 when nothing changed.
 */
int bb_hosts_update(struct bb_hosts *h, const char *text, size_t size,
		    int64_t now_us, struct bb_error *err);

/**
 * bb_hosts_read_unchanged() - the service has no newer list.
 */
void bb_hosts_read_unchanged(struct bb_hosts *h, int64_t now_us);

/**
 * bb_hosts_read_failed() - a read failed.
 */
void bb_hosts_read_failed(struct bb_hosts *h, int64_t now_us);

/**
 * bb_hosts_leaving() - whether a host was ordered to leave.
 */
bool bb_hosts_leaving(const struct bb_hosts *h, const char *host);

/**
 * bb_hosts_state() - what the newest list says of a host.
 */
enum bb_host_state bb_hosts_state(const struct bb_hosts *h, const char *host);

/**
 * bb_hosts_sequence() - sequence number of the newest list, 0 for none.
 */
uint64_t bb_hosts_sequence(const struct bb_hosts *h);

/**
 * bb_hosts_last_read_us() - when the last read ended well, 0 for never.
 */
int64_t bb_hosts_last_read_us(const struct bb_hosts *h);

#ifdef __cplusplus
}
#endif
#endif
