/*
 * Collects the pages of a newer configuration, assembles it, and passes it on
 * if it is valid.
 */
#include "baobabward/source.h"

#include <sodium.h>
#include <string.h>

#include "assemble.h"
#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "source_internal.h"

/* A page and the hash of its content. */
struct hashed_page {
	struct bb_page *page;
	uint8_t hash[BB_PAGE_HASH_SIZE];
};

/*
 * With this limit, 580 nodes stay below the service's 2,000 reads per second
 * even if all of them use up their bursts at once.
 */
#define READS_PER_S 2.0
#define READS_BURST 3.0
/*
 * If the connection fails silently, a new version is noticed only after this
 * time and a margin of 2 s, and a node without a quorum counts as current for
 * 10 s after the start of a watch. With 580 nodes, the watches are 145 reads
 * per second.
 */
#define WATCH_US (4 * BB_US_PER_S)
/*
 * Pages assembled in one call, which takes some milliseconds, so that a version
 * of many pages does not delay leases and gossip.
 */
#define ASSEMBLY_PAGES 8

void bb_source_options_init(struct bb_source_options *options)
{
	*options = (struct bb_source_options){
		.reads_per_s = READS_PER_S,
		.reads_burst = READS_BURST,
		.backoff_min_us = 200 * BB_US_PER_MS,
		.backoff_max_us = 30 * BB_US_PER_S,
		.watch_us = WATCH_US,
		.timeout_us = 5 * BB_US_PER_S,
		.read_jitter_us = BB_US_PER_S,
		.file_period_us = BB_US_PER_S,
	};
}

static void hashed_page_delete(void *data)
{
	struct hashed_page *h = data;

	bb_page_delete(h->page);
	g_free(h);
}

static void set_init(struct bb_page_set *set)
{
	set->index_page = NULL;
	set->index = NULL;
	set->pages = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   hashed_page_delete);
}

static void set_finish(struct bb_page_set *set)
{
	bb_page_delete(set->index_page);
	bb_index_delete(set->index);
	g_hash_table_destroy(set->pages);
}

static struct bb_page *copy_page(const struct bb_page *page)
{
	return bb_page_new(page->name, page->content, page->size,
			   page->signature);
}

struct bb_source *bb_source_new(const struct bb_source_options *options,
				struct bb_error *err)
{
	struct bb_source *s;

	if (!(options->reads_per_s > 0) || !(options->reads_burst >= 1)) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "reads_per_s must be > 0 and reads_burst >= 1");
		return NULL;
	}
	if (sodium_init() < 0) {
		bb_error_set(err, BB_ERROR_STATE, "libsodium failed to start");
		return NULL;
	}
	s = g_new0(struct bb_source, 1);
	s->options = *options;
	s->options.url = g_strdup(options->url);
	s->options.path = g_strdup(options->path);
	s->missing = g_ptr_array_new();
	set_init(&s->accepted);
	set_init(&s->candidate);
	if (options->url) {
		s->http = bb_source_http_new(s, err);
		if (!s->http) {
			bb_source_delete(s);
			return NULL;
		}
	}
	return s;
}

void bb_source_delete(struct bb_source *s)
{
	if (!s)
		return;
	bb_source_http_delete(s->http);
	bb_assembly_delete(s->assembly);
	set_finish(&s->accepted);
	set_finish(&s->candidate);
	g_ptr_array_free(s->missing, TRUE);
	g_free((char *)s->options.url);
	g_free((char *)s->options.path);
	g_free(s);
}

const struct bb_source_status *bb_source_status(const struct bb_source *s)
{
	return &s->status;
}

int bb_source_fd(const struct bb_source *s)
{
	return s->http ? bb_source_http_fd(s->http) : -1;
}

bool bb_source_is_stale(const struct bb_source *s, uint64_t version)
{
	return version < s->status.version || version < s->status.min_version;
}

void bb_source_accept(struct bb_source *s, struct bb_config *c)
{
	s->status.version = c->version;
	s->status.versions_accepted++;
	bb_metrics_add(BB_METRIC_CONFIG_ACCEPTED, 1);
	bb_log_info(BB_LOG_CONFIG,
		    "version %" G_GUINT64_FORMAT " is complete and valid",
		    (guint64)c->version);
	if (s->options.on_accepted)
		s->options.on_accepted(s->options.context, c);
	else
		bb_config_delete(c);
}

void bb_source_refuse(struct bb_source *s, uint64_t version,
		      const struct bb_error *why)
{
	if (version)
		s->status.refused_version = version;
	s->status.versions_refused++;
	g_strlcpy(s->status.reason, why->message, sizeof(s->status.reason));
	bb_metrics_add(BB_METRIC_CONFIG_REFUSED, 1);
	/* The version is unknown when a file cannot be parsed. */
	if (!version)
		bb_log_warning(BB_LOG_CONFIG,
			       "refused a document, version %" G_GUINT64_FORMAT
			       " stays in force: %s",
			       (guint64)s->status.version, why->message);
	else
		bb_log_warning(BB_LOG_CONFIG,
			       "refused version %" G_GUINT64_FORMAT
			       ", version %" G_GUINT64_FORMAT
			       " stays in force: %s",
			       (guint64)version, (guint64)s->status.version,
			       why->message);
}

static void drop_candidate(struct bb_source *s)
{
	bb_assembly_delete(s->assembly);
	s->assembly = NULL;
	set_finish(&s->candidate);
	set_init(&s->candidate);
	s->expanded = false;
	g_ptr_array_set_size(s->missing, 0);
	s->status.candidate_version = 0;
}

void bb_source_set_min_version(struct bb_source *s, uint64_t version)
{
	s->status.min_version = MAX(s->status.min_version, version);
	if (s->status.candidate_version &&
	    bb_source_is_stale(s, s->status.candidate_version))
		drop_candidate(s);
}

/* Page of a set with the name and the hash of an entry, or NULL. */
static struct hashed_page *set_find(const struct bb_page_set *set,
				    const struct bb_index_entry *e)
{
	struct hashed_page *h = g_hash_table_lookup(set->pages, e->name);

	if (!h || memcmp(h->hash, e->hash, BB_PAGE_HASH_SIZE) != 0)
		return NULL;
	return h;
}

static struct bb_index_entry *find_by_name(struct bb_index_entry *entries,
					   size_t nr, const char *name)
{
	for (size_t i = 0; i < nr; i++)
		if (!strcmp(entries[i].name, name))
			return &entries[i];
	return NULL;
}

static struct bb_index_entry *find_entry(const struct bb_index *index,
					 const char *name)
{
	struct bb_index_entry *e;

	if (!index)
		return NULL;
	e = find_by_name(index->lists, index->lists_nr, name);
	return e ? e : find_by_name(index->entries, index->entries_nr, name);
}

static const struct bb_page *find_for_candidate(void *context, const char *name)
{
	const struct bb_source *s = context;
	const struct bb_index_entry *e = find_entry(s->candidate.index, name);
	const struct hashed_page *h;

	if (!e)
		return NULL;
	h = set_find(&s->candidate, e);
	if (!h)
		h = set_find(&s->accepted, e);
	return h ? h->page : NULL;
}

static gboolean is_unlisted(gpointer key, gpointer value, gpointer context)
{
	const struct hashed_page *h = value;
	const struct bb_index_entry *e = find_entry(context, key);

	return !e || memcmp(e->hash, h->hash, sizeof(h->hash)) != 0;
}

/* Moves an unchanged page from the accepted set to the candidate. */
static void keep_unchanged(struct bb_source *s, const struct bb_index_entry *e)
{
	struct hashed_page *h;

	if (set_find(&s->candidate, e))
		return;
	h = set_find(&s->accepted, e);
	g_hash_table_steal(s->accepted.pages, e->name);
	g_hash_table_insert(s->candidate.pages, h->page->name, h);
}

static void replace_accepted(struct bb_source *s)
{
	const struct bb_index *index = s->candidate.index;

	/* Remove pages of an earlier candidate that this one does not have. */
	g_hash_table_foreach_remove(s->candidate.pages, is_unlisted,
				    (gpointer)index);
	for (size_t i = 0; i < index->lists_nr; i++)
		keep_unchanged(s, &index->lists[i]);
	for (size_t i = 0; i < index->entries_nr; i++)
		keep_unchanged(s, &index->entries[i]);
	set_finish(&s->accepted);
	s->accepted = s->candidate;
	set_init(&s->candidate);
	drop_candidate(s);
}

/*
 * Lists the entries whose pages are missing, in random order, so that nodes
 * that start together read different pages.
 */
static void find_missing(struct bb_source *s, struct bb_index_entry *entries,
			 size_t nr)
{
	g_ptr_array_set_size(s->missing, 0);
	for (size_t i = 0; i < nr; i++)
		if (!set_find(&s->candidate, &entries[i]) &&
		    !set_find(&s->accepted, &entries[i]))
			g_ptr_array_add(s->missing, &entries[i]);
	for (guint i = s->missing->len; i > 1 && s->options.random; i--) {
		guint j = g_rand_int_range(s->options.random, 0, (gint32)i);
		gpointer other = s->missing->pdata[j];

		s->missing->pdata[j] = s->missing->pdata[i - 1];
		s->missing->pdata[i - 1] = other;
	}
}

static void refuse_candidate(struct bb_source *s, const struct bb_error *why)
{
	uint64_t version = s->status.candidate_version;

	drop_candidate(s);
	bb_source_refuse(s, version, why);
}

/*
 * If no page is missing, goes on from the list pages to the pages of rows, and
 * from these to the assembly.
 */
static int advance_candidate(struct bb_source *s, struct bb_error *err)
{
	struct bb_index *index = s->candidate.index;
	struct bb_error why = { 0 };

	if (s->missing->len)
		return 0;
	if (!s->expanded) {
		if (bb_index_expand(index, find_for_candidate, s, &why)) {
			refuse_candidate(s, &why);
			return bb_error_set(err, why.code, "%s", why.message);
		}
		s->expanded = true;
		find_missing(s, index->entries, index->entries_nr);
	}
	if (!s->missing->len)
		s->assembly = bb_assembly_new(index);
	return 0;
}

/* Assembles some pages; accepts or refuses the version after the last one. */
static void assemble_step(struct bb_source *s)
{
	struct bb_assembly *a = s->assembly;
	struct bb_error why = { 0 };
	struct bb_config *c;
	int rc;

	/* A newer version may have been accepted from the file meanwhile. */
	if (s->status.candidate_version <= s->status.version) {
		drop_candidate(s);
		return;
	}
	rc = bb_assembly_step(a, ASSEMBLY_PAGES, find_for_candidate, s, &why);
	if (rc > 0)
		return;
	if (rc < 0) {
		refuse_candidate(s, &why);
		return;
	}
	s->assembly = NULL;
	c = bb_assembly_finish(a, &why);
	if (!c) {
		refuse_candidate(s, &why);
		return;
	}
	replace_accepted(s);
	bb_source_accept(s, c);
}

int64_t bb_source_perform(struct bb_source *s, int64_t now_us)
{
	int64_t next = INT64_MAX;

	if (s->options.path)
		next = bb_source_file_perform(s, now_us);
	if (s->http) {
		int64_t at = bb_source_http_perform(s->http, now_us);

		next = MIN(next, at);
	}
	if (s->assembly) {
		assemble_step(s);
		/* Also after the last step, since the next read may start. */
		next = now_us;
	}
	return next;
}

static int offer_index(struct bb_source *s, const struct bb_page *page,
		       struct bb_error *err)
{
	struct bb_index *index = bb_index_parse(page, err);
	uint64_t newest = MAX(s->status.version, s->status.candidate_version);

	if (!index)
		return -1;
	if (bb_source_is_stale(s, index->version)) {
		s->status.stale_versions++;
		bb_error_set(err, BB_ERROR_STALE,
			     "version %" G_GUINT64_FORMAT
			     " is older than one already accepted",
			     (guint64)index->version);
		bb_index_delete(index);
		return -1;
	}
	/* A refused version is not collected again. */
	if (index->version <= newest ||
	    index->version == s->status.refused_version) {
		bb_index_delete(index);
		return 0;
	}
	/*
	 * Finish the assembly first: otherwise versions in quick succession
	 * would restart it again and again.
	 */
	if (s->assembly) {
		bb_index_delete(index);
		return bb_error_set(err, BB_ERROR_STATE,
				    "another version is being assembled");
	}
	bb_page_delete(s->candidate.index_page);
	bb_index_delete(s->candidate.index);
	s->candidate.index_page = copy_page(page);
	s->candidate.index = index;
	s->status.candidate_version = index->version;
	s->expanded = false;
	if (!s->accepted.index && !s->bundles_nr)
		s->bundles_nr = index->bundles_nr;
	find_missing(s, index->lists, index->lists_nr);
	return advance_candidate(s, err);
}

static bool is_accepted_page(const struct bb_source *s, const char *name,
			     const uint8_t *hash)
{
	const struct hashed_page *h =
		g_hash_table_lookup(s->accepted.pages, name);

	return h && !memcmp(h->hash, hash, sizeof(h->hash));
}

static int offer_listed_page(struct bb_source *s, const struct bb_page *page,
			     struct bb_error *err)
{
	const struct bb_index_entry *e =
		find_entry(s->candidate.index, page->name);
	uint8_t hash[BB_PAGE_HASH_SIZE];
	struct hashed_page *h;

	bb_page_hash(page, hash);
	if (is_accepted_page(s, page->name, hash))
		return 0;
	if (!e || memcmp(e->hash, hash, sizeof(hash)) != 0)
		return bb_error_set(err, BB_ERROR_NOT_FOUND,
				    "page is not part of a version that is "
				    "being collected");
	if (!g_ptr_array_remove(s->missing, (gpointer)e))
		return 0;
	h = g_new0(struct hashed_page, 1);
	h->page = copy_page(page);
	memcpy(h->hash, hash, sizeof(hash));
	/* Also replaces the key, since the page owns that string. */
	g_hash_table_replace(s->candidate.pages, h->page->name, h);
	return advance_candidate(s, err);
}

int bb_source_offer_page(struct bb_source *s, const struct bb_page *page,
			 struct bb_error *err)
{
	if (bb_page_verify(page, s->options.public_key, err))
		return -1;
	if (!strcmp(page->name, BB_PAGE_INDEX))
		return offer_index(s, page, err);
	return offer_listed_page(s, page, err);
}

bool bb_source_next_bundle(struct bb_source *s, char *name)
{
	/*
	 * After the first bundle, wait for the list pages, which it contains:
	 * only they tell which pages of rows are missing.
	 */
	if (!s->missing->len || s->bundles_next == s->bundles_nr ||
	    (s->bundles_next && !s->expanded))
		return false;
	g_snprintf(name, BB_PAGE_NAME_MAX + 1, BB_BUNDLE_PREFIX "%u",
		   s->bundles_next++);
	return true;
}

static void offer_bundled(void *context, const struct bb_page *page)
{
	struct bb_error ignored = { 0 };

	/* Errors are normal: a bundle of another version has other pages. */
	bb_source_offer_page(context, page, &ignored);
}

int bb_source_offer_bundle(struct bb_source *s, const struct bb_page *bundle,
			   struct bb_error *err)
{
	if (bb_page_verify(bundle, s->options.public_key, err))
		return -1;
	return bb_bundle_read(bundle, offer_bundled, s, err);
}

const struct bb_page *bb_source_get_page(const struct bb_source *s,
					 uint64_t version, const char *name)
{
	const struct bb_page_set *set;
	const struct bb_index_entry *e;
	const struct hashed_page *h;

	if (version && version == s->status.candidate_version)
		set = &s->candidate;
	else if (s->accepted.index && version == s->accepted.index->version)
		set = &s->accepted;
	else
		return NULL;
	if (!strcmp(name, BB_PAGE_INDEX))
		return set->index_page;
	e = find_entry(set->index, name);
	if (!e)
		return NULL;
	h = set_find(set, e);
	if (!h)
		h = set_find(&s->accepted, e);
	return h ? h->page : NULL;
}

size_t bb_source_missing_pages(const struct bb_source *s, const char **names,
			       size_t max)
{
	size_t nr = MIN(max, s->missing->len);

	for (size_t i = 0; i < nr; i++) {
		const struct bb_index_entry *e =
			g_ptr_array_index(s->missing, i);

		names[i] = e->name;
	}
	return nr;
}
