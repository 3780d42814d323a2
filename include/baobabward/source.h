/*
 * Source of the configuration: reads a file, or reads and watches the
 * configuration service, and also takes pages of a newer version from peers. A
 * version is accepted only as a whole, when all of its pages are present,
 * signed and valid, and only if it is newer than the accepted one.
 *
 * A source belongs to one thread, which calls bb_source_perform() when
 * bb_source_fd() is readable or the returned time has come. No call blocks on
 * the network.
 *
 * Protocol of the configuration service: GET /v1/watch?version=N&wait_ms=M
 * is answered with 200 and the index page as soon as its version is not N, and
 * with 204 when that takes longer than M or than the service holds a watch.
 * GET /v1/pages/<name> is answered with 200 and the page. Pages are encoded by
 * bb_page_encode().
 */
#ifndef BAOBABWARD_SOURCE_H
#define BAOBABWARD_SOURCE_H

#include <glib.h>
#include <stdint.h>

#include "baobabward/config.h"
#include "baobabward/error.h"
#include "baobabward/publish.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct bb_source_options - options of a source.
 * @url: http://IP:port of the configuration service, or NULL
 * @path: file with a JSON document, or NULL; may be combined with @url, the
 *        higher version is used
 * @public_key: key that verifies the operators' signatures
 * @random: random number generator, owned by the caller
 * @reads_per_s: rate limit of reads of the service, pages and watches
 * @reads_burst: burst size of that limit, in reads
 * @backoff_min_us: delay after the first of consecutive failures
 * @backoff_max_us: upper bound of the delay after a failure
 * @watch_us: time for which the service may hold a watch
 * @timeout_us: time limit of reading a page, and of connecting
 * @read_jitter_us: upper bound of a random delay of the reads after a change,
 *                  so that not all nodes read at once
 * @file_period_us: time between two checks of @path for a change
 * @on_accepted: called with each new snapshot, of which it becomes the owner
 * @context: passed to @on_accepted
 */
struct bb_source_options {
	const char *url;
	const char *path;
	uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE];
	GRand *random;
	double reads_per_s;
	double reads_burst;
	int64_t backoff_min_us;
	int64_t backoff_max_us;
	int64_t watch_us;
	int64_t timeout_us;
	int64_t read_jitter_us;
	int64_t file_period_us;
	void (*on_accepted)(void *context, struct bb_config *c);
	void *context;
};

/**
 * bb_source_options_init() - fill in the defaults.
 * @options: all fields are set; url, path, random and on_accepted to NULL
 */
void bb_source_options_init(struct bb_source_options *options);

/**
 * struct bb_source_status - state and counters of a source.
 * @version: accepted version, 0 for none
 * @candidate_version: newer version (the candidate) whose pages are being
 *                     collected, 0 for none
 * @min_version: lowest version that may still be accepted
 * @refused_version: last version refused as invalid, 0 for none
 * @reason: why it was refused, or why the last read failed
 * @versions_accepted: number of versions accepted
 * @versions_refused: number of versions refused as invalid
 * @stale_versions: number of times that a read or a peer brought a version
 *                  older than the accepted version or @min_version
 * @read_failures: number of reads that failed
 * @reads: number of reads started, watches included
 * @latest_confirmed_us: start time of the last watch that found no newer
 *                       version, 0 for none
 */
struct bb_source_status {
	uint64_t version;
	uint64_t candidate_version;
	uint64_t min_version;
	uint64_t refused_version;
	char reason[BB_ERROR_MESSAGE_SIZE];
	uint64_t versions_accepted;
	uint64_t versions_refused;
	uint64_t stale_versions;
	uint64_t read_failures;
	uint64_t reads;
	int64_t latest_confirmed_us;
};

struct bb_source;

/**
 * bb_source_new() - make a source.
 * @options: copied, its strings too
 * @err: filled in on failure
 *
 * Return: source, or NULL.
 */
struct bb_source *bb_source_new(const struct bb_source_options *options,
				struct bb_error *err);

/**
 * bb_source_delete() - cancel all reads and free a source.
 * @s: source, may be NULL
 */
void bb_source_delete(struct bb_source *s);

/**
 * bb_source_fd() - get the file descriptor to poll.
 * @s: source
 *
 * Return: descriptor that is readable when bb_source_perform() has work, -1 for
 *         a source without a configuration service.
 */
int bb_source_fd(const struct bb_source *s);

/**
 * bb_source_perform() - make all progress that is possible without blocking.
 * @s: source
 * @now_us: present time
 *
 * Return: time of the next call, unless the descriptor is readable earlier.
 */
int64_t bb_source_perform(struct bb_source *s, int64_t now_us);

/**
 * bb_source_offer_page() - hand over a page from a peer.
 * @s: source
 * @page: page, stays owned by the caller; its signature is checked
 * @err: filled in on failure: BB_ERROR_SIGNATURE, BB_ERROR_STALE for an index
 *       that is older than the accepted version or the minimum version,
 *       BB_ERROR_NOT_FOUND for a page that the candidate does not list,
 *       BB_ERROR_INVALID for malformed pages, BB_ERROR_STATE for an index while
 *       another version is being assembled
 *
 * Once no page is missing, the following calls of bb_source_perform() assemble
 * the version and accept or refuse it.
 *
 * Return: 0 if the page was stored or is not needed, or -1.
 */
int bb_source_offer_page(struct bb_source *s, const struct bb_page *page,
			 struct bb_error *err);

/**
 * bb_source_get_page() - get a page to serve to a peer.
 * @s: source
 * @version: accepted version, or the candidate's
 * @name: page name
 *
 * Return: page that stays valid until the next call of another function of
 *         the source, or NULL.
 */
const struct bb_page *bb_source_get_page(const struct bb_source *s,
					 uint64_t version, const char *name);

/**
 * bb_source_missing_pages() - list the pages that the candidate lacks.
 * @s: source
 * @names: filled in with names that stay valid until the next call of another
 *         function of the source
 * @max: room in @names
 *
 * Return: number of names filled in.
 */
size_t bb_source_missing_pages(const struct bb_source *s, const char **names,
			       size_t max);

/**
 * bb_source_set_min_version() - never accept an older version from now on.
 * @s: source
 * @version: highest version that a peer has accepted
 */
void bb_source_set_min_version(struct bb_source *s, uint64_t version);

/**
 * bb_source_status() - get the state and the counters.
 * @s: source
 *
 * Return: status, valid until bb_source_delete().
 */
const struct bb_source_status *bb_source_status(const struct bb_source *s);

#ifdef __cplusplus
}
#endif
#endif
