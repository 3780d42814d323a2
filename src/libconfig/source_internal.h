/* Internals of a source: its page sets, HTTP client and file reader. */
#ifndef LIBCONFIG_SOURCE_INTERNAL_H
#define LIBCONFIG_SOURCE_INTERNAL_H

#include "baobabward/source.h"

/**
 * struct bb_page_set - all or some pages of one version.
 * @index_page: index page, NULL if the set is empty
 * @index: content of @index_page
 * @pages: page name to page with the hash of its content
 */
struct bb_page_set {
	struct bb_page *index_page;
	struct bb_index *index;
	GHashTable *pages;
};

/**
 * struct bb_source - see source.h.
 * @options: copy of the options
 * @status: state and counters
 * @accepted: pages of the accepted version
 * @candidate: pages of a newer version that differ from the accepted one's
 * @expanded: the list pages of the candidate's index have been read
 * @missing: entries of the candidate's index whose pages are in neither set:
 *           list pages, then, once @expanded, pages of rows
 * @bundles_nr: number of bundles to read while the first version is collected
 * @bundles_next: number of the next bundle to read
 * @assembly: the candidate while it is being assembled, or NULL
 * @http: HTTP client, NULL without a configuration service
 * @file_check_at_us: time of the next check of the file for a change
 * @file_read: modification time, size and inode of the file read last
 */
struct bb_source {
	struct bb_source_options options;
	struct bb_source_status status;
	struct bb_page_set accepted;
	struct bb_page_set candidate;
	bool expanded;
	GPtrArray *missing;
	uint32_t bundles_nr;
	uint32_t bundles_next;
	struct bb_assembly *assembly;
	struct bb_source_http *http;
	int64_t file_check_at_us;
	int64_t file_read[3];
};

/* Records a snapshot as the accepted version and passes it on. */
void bb_source_accept(struct bb_source *s, struct bb_config *c);
/* Counts a refused version, 0 if unknown, and records the reason. */
void bb_source_refuse(struct bb_source *s, uint64_t version,
		      const struct bb_error *why);
/* True if a version is older than the accepted or the minimum version. */
bool bb_source_is_stale(const struct bb_source *s, uint64_t version);

/**
 * bb_source_next_bundle() - get a bundle to read instead of single pages.
 * @s: source
 * @name: buffer of BB_PAGE_NAME_MAX + 1 bytes, set to the bundle's name
 *
 * Returns each bundle only once: missing pages that it does not contain are
 * read one by one.
 *
 * Return: false if there is no bundle to read now.
 */
bool bb_source_next_bundle(struct bb_source *s, char *name);

/**
 * bb_source_offer_bundle() - store the missing pages that a bundle contains.
 * @s: source
 * @bundle: bundle, whose signature is checked here
 * @err: filled in on failure
 *
 * Return: 0, or -1.
 */
int bb_source_offer_bundle(struct bb_source *s, const struct bb_page *bundle,
			   struct bb_error *err);

/* Reads the file if it has changed; returns the time of the next check. */
int64_t bb_source_file_perform(struct bb_source *s, int64_t now_us);

/* HTTP client; the functions match those of the source. */
struct bb_source_http *bb_source_http_new(struct bb_source *s,
					  struct bb_error *err);
void bb_source_http_delete(struct bb_source_http *h);
int bb_source_http_fd(const struct bb_source_http *h);
int64_t bb_source_http_perform(struct bb_source_http *h, int64_t now_us);

#endif
