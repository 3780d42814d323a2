/*
 * The platform's list of live and leaving hosts: which hosts were ordered to
 * leave, and when to read the list again.
 *
 * The list lags behind the truth and may be wrong. The state "leaving" is an
 * order of the platform: it applies until a newer list says "live"; a list that
 * says "dead" or omits the host does not end the order. "dead" alone has no
 * effect, since a node's own evidence of liveness is newer, and a host that no
 * list has named is not leaving. Lists are ordered by their sequence number; a
 * list that is not newer changes nothing.
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

/* Largest list in bytes: the limit of a value of the configuration service. */
#define BB_HOSTS_SIZE_MAX 1000000

/**
 * enum bb_host_state - state of a host in the newest list.
 * @BB_HOST_UNLISTED: not listed, or a state that this version does not know
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
 * struct bb_hosts_options - options of a host list.
 * @random: source of the jitter of reads; owned by the caller
 * @period_us: mean time between two reads, at least 1
 * @backoff_max_us: longest time between reads while they fail
 * @configured: whether the configuration has the host; an order to leave for
 *              other hosts is dropped once a list omits them
 * @data: passed to @configured
 */
struct bb_hosts_options {
	GRand *random;
	int64_t period_us;
	int64_t backoff_max_us;
	bool (*configured)(void *data, const char *host);
	void *data;
};

/**
 * struct bb_hosts - the newest host list and the schedule of its reads.
 */
struct bb_hosts;

/**
 * bb_hosts_new() - create an empty host list.
 * @o: options, copied
 * @now_us: current time; the first read is due within a period
 */
struct bb_hosts *bb_hosts_new(const struct bb_hosts_options *o, int64_t now_us);

/**
 * bb_hosts_delete() - free a host list.
 * @h: list, may be NULL
 */
void bb_hosts_delete(struct bb_hosts *h);

/**
 * bb_hosts_read_due() - whether to begin a read now.
 * @h: list
 * @now_us: current time
 *
 * After it has returned true, the caller must report the end of the read by one
 * of bb_hosts_update(), bb_hosts_read_unchanged() and bb_hosts_read_failed().
 */
bool bb_hosts_read_due(struct bb_hosts *h, int64_t now_us);

/**
 * bb_hosts_update() - apply a list that was read.
 * @h: list
 * @text: {"sequence": N, "hosts": [{"name": NAME, "state": STATE}, ...]}
 * @size: bytes of @text
 * @now_us: current time
 * @err: set on failure: BB_ERROR_STALE when the list is not newer, which counts
 *       as a successful read, or BB_ERROR_INVALID, which counts as a failed
 *       read
 *
 * Return: 0 when it is in force, or -1 when nothing changed.
 */
int bb_hosts_update(struct bb_hosts *h, const char *text, size_t size,
		    int64_t now_us, struct bb_error *err);

/**
 * bb_hosts_read_unchanged() - report a read that returned no newer list.
 */
void bb_hosts_read_unchanged(struct bb_hosts *h, int64_t now_us);

/**
 * bb_hosts_read_failed() - report a failed read.
 */
void bb_hosts_read_failed(struct bb_hosts *h, int64_t now_us);

/**
 * bb_hosts_leaving() - whether a host was ordered to leave.
 */
bool bb_hosts_leaving(const struct bb_hosts *h, const char *host);

/**
 * bb_hosts_state() - state of a host in the newest list.
 */
enum bb_host_state bb_hosts_state(const struct bb_hosts *h, const char *host);

/**
 * bb_hosts_sequence() - sequence number of the newest list, 0 for none.
 */
uint64_t bb_hosts_sequence(const struct bb_hosts *h);

/**
 * bb_hosts_last_read_us() - end of the last successful read, 0 for none.
 */
int64_t bb_hosts_last_read_us(const struct bb_hosts *h);

#ifdef __cplusplus
}
#endif
#endif
