/*
 * Source of the configuration: reads a file, or reads and watches the
 * configuration service, and completes a newer version with pages from peers.
 *
 * One thread drives a source: it calls bb_source_perform() when bb_source_fd()
 * is readable or the returned time has come. No call blocks on the network.
 *
 * Protocol of the configuration service: GET /v1/watch?version=N&wait_ms=M
 * answers 200 with the index page as soon as its version is not N, and 204 when
 * that takes longer than M or than the service holds a watch; GET /v1/pages/<name> answers 200 with a page. Pages have the form
 * of bb_page_encode().
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
 * @path: file with a JSON document, or NULL; it may be combined with @url, the
 *        higher version stays in force
 * @public_key: key by which the operators' signatures are checked
 * @random: random numbers, owned by the caller
 * @reads_per_s: budget of reads of the service, pages and watches
 * @reads_burst: reads at once
 * @backoff_min_us: delay after the first failure in a row
 * @backoff_max_us: greatest delay after a failure
 * @watch_us: time for which the service may hold a watch
 * @timeout_us: time for reading a page, and for connecting
 * @read_jitter_us: reads after a change wait for a random part of this time, so
 *                  that not all nodes read at once
 * @file_period_us: time between two looks at @path
 * @on_accepted: called with each new snapshot, which it takes over
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
 * bb_source_options_init() - fill in defaults.
 * @options: all fields are set; url, path, random and on_accepted to NULL
 */
void bb_source_options_init(struct bb_source_options *options);

/**
 * struct bb_source_status - what a source did.
 * @version: accepted version, 0 for none
 * @candidate_version: version whose pages are being collected, 0 for none
 * @min_version: least version that may still be accepted
 * @refused_version: last version refused as invalid, 0 for none
 * @reason: why it was refused, or the last failure to read it
 * @versions_accepted: versions accepted
 * @versions_refused: versions refused
 * @stale_versions: answers of replicas that were older than the accepted
 *                  version
 * @read_failures: reads that failed
 * @reads: reads begun, watches included
 * @latest_confirmed_us: time before which the last read began that found no
 *                       newer version, 0 for none
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
 * bb_source_delete() - abandon all reads and free a source.
 * @s: source, may be NULL
 */
void bb_source_delete(struct bb_source *s);

/**
 * bb_source_fd() - descriptor to wait on.
 * @s: source
 *
 * Return: descriptor that is readable when bb_source_perform() has work.
 */
int bb_source_fd(const struct bb_source *s);

/**
 * bb_source_perform() - do what can be done without waiting.
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
 *       that is not newer, BB_ERROR_NOT_FOUND for a page that the candidate
 *       does not list, BB_ERROR_INVALID for malformed pages, BB_ERROR_STATE
 *       for an index while another version is being put in force
 *
 * Once no page is missing, the following calls of bb_source_perform() put the
 * version in force or refuse it.
 *
 * Return: 0 when the page was taken or is present already, or -1.
 */
int bb_source_offer_page(struct bb_source *s, const struct bb_page *page,
			 struct bb_error *err);

/**
 * bb_source_get_page() - page to serve to a peer.
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
 * bb_source_missing_pages() - pages that the candidate lacks.
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
 * bb_source_status() - what the source did.
 * @s: source
 *
 * Return: status, valid until bb_source_delete().
 */
const struct bb_source_status *bb_source_status(const struct bb_source *s);

#ifdef __cplusplus
}
#endif
#endif
