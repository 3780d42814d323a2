/* Reads and watches the configuration service through libcurl. */
#include <curl/curl.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "source_internal.h"

/* Maximum number of concurrent page reads. */
#define PAGE_READS_MAX 4
/* Maximum number of events handled in one call. */
#define EVENTS_MAX 16
/* Time-out of a watch beyond the time for which the service may hold it. */
#define WATCH_MARGIN_US (2 * BB_US_PER_S)
/* Maximum number of doublings of the delay after consecutive failures. */
#define BACKOFF_DOUBLINGS_MAX 20

/**
 * struct transfer - a read in progress.
 * @easy: libcurl's handle, NULL if there is no read
 * @name: page or bundle name, BB_PAGE_INDEX for the watch
 * @body: bytes received
 * @started_us: time when it began
 */
struct transfer {
	CURL *easy;
	char name[BB_PAGE_NAME_MAX + 1];
	GByteArray *body;
	int64_t started_us;
};

/**
 * struct bb_source_http - HTTP client of a source.
 * @source: the source
 * @multi: libcurl's multi handle
 * @epoll_fd: epoll descriptor of libcurl's sockets
 * @timer_at_us: time of libcurl's next time-out, INT64_MAX for none
 * @now_us: time of the current call
 * @not_before_us: no read starts before this time
 * @tokens: token bucket: number of reads that may start now
 * @tokens_at_us: time when @tokens was updated
 * @consecutive_failures: number of failures since the last success, from which
 *                        the delay is computed
 * @last_logged_reason: reason of the last failure that was logged
 * @transfers: the watch, then the page reads
 */
struct bb_source_http {
	struct bb_source *source;
	CURLM *multi;
	int epoll_fd;
	int64_t timer_at_us;
	int64_t now_us;
	int64_t not_before_us;
	double tokens;
	int64_t tokens_at_us;
	unsigned int consecutive_failures;
	char last_logged_reason[BB_ERROR_MESSAGE_SIZE];
	struct transfer transfers[1 + PAGE_READS_MAX];
};

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *context,
		     void *socket_context)
{
	struct bb_source_http *h = context;
	struct epoll_event event = { .data.fd = fd };

	(void)easy;
	(void)socket_context;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(h->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	if (epoll_ctl(h->epoll_fd, EPOLL_CTL_MOD, fd, &event))
		epoll_ctl(h->epoll_fd, EPOLL_CTL_ADD, fd, &event);
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *context)
{
	struct bb_source_http *h = context;

	(void)multi;
	h->timer_at_us = timeout_ms < 0 ? INT64_MAX :
					  h->now_us + timeout_ms * BB_US_PER_MS;
	return 0;
}

static size_t on_body(char *data, size_t size, size_t nr, void *context)
{
	struct transfer *t = context;

	/* A short count makes libcurl fail the transfer. */
	if (t->body->len + size * nr > BB_PAGE_SIZE_MAX)
		return 0;
	g_byte_array_append(t->body, (const guint8 *)data, size * nr);
	return size * nr;
}

struct bb_source_http *bb_source_http_new(struct bb_source *s,
					  struct bb_error *err)
{
	struct bb_source_http *h = g_new0(struct bb_source_http, 1);

	h->source = s;
	h->timer_at_us = INT64_MAX;
	h->tokens = s->options.reads_burst;
	h->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	h->multi = curl_multi_init();
	for (size_t i = 0; i < G_N_ELEMENTS(h->transfers); i++)
		h->transfers[i].body = g_byte_array_new();
	if (h->epoll_fd < 0 || !h->multi) {
		bb_error_set(err, BB_ERROR_IO,
			     "cannot start the HTTP client of the "
			     "configuration source");
		bb_source_http_delete(h);
		return NULL;
	}
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	return h;
}

static void end_transfer(struct bb_source_http *h, struct transfer *t)
{
	if (!t->easy)
		return;
	curl_multi_remove_handle(h->multi, t->easy);
	curl_easy_cleanup(t->easy);
	t->easy = NULL;
	g_byte_array_set_size(t->body, 0);
}

void bb_source_http_delete(struct bb_source_http *h)
{
	if (!h)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(h->transfers); i++) {
		end_transfer(h, &h->transfers[i]);
		g_byte_array_free(h->transfers[i].body, TRUE);
	}
	curl_multi_cleanup(h->multi);
	if (h->epoll_fd >= 0)
		close(h->epoll_fd);
	g_free(h);
}

int bb_source_http_fd(const struct bb_source_http *h)
{
	return h->epoll_fd;
}

static double random_fraction(const struct bb_source_http *h)
{
	GRand *random = h->source->options.random;

	return random ? g_rand_double(random) : 0.5;
}

/* Delays all reads: exponential back-off with half of the delay random. */
static void back_off(struct bb_source_http *h, const char *reason)
{
	const struct bb_source_options *o = &h->source->options;
	unsigned int doublings =
		MIN(h->consecutive_failures, BACKOFF_DOUBLINGS_MAX);
	double delay = MIN((double)o->backoff_min_us * (1U << doublings),
			   (double)o->backoff_max_us);

	h->consecutive_failures++;
	h->source->status.read_failures++;
	h->not_before_us =
		h->now_us + (int64_t)(delay * (1 + random_fraction(h)) / 2);
	/*
	 * Keep the reason of a refused version, which is more useful than that
	 * of a failed read.
	 */
	if (!h->source->status.refused_version)
		g_strlcpy(h->source->status.reason, reason,
			  sizeof(h->source->status.reason));
	/*
	 * Log the first of consecutive failures, and each one with another
	 * cause, such as bad pages after no connection.
	 */
	if (h->consecutive_failures == 1 ||
	    strcmp(reason, h->last_logged_reason) != 0) {
		g_strlcpy(h->last_logged_reason, reason,
			  sizeof(h->last_logged_reason));
		bb_log_warning(BB_LOG_CONFIG,
			       "read of the configuration service failed: %s",
			       reason);
	}
}

/* Sum that changes whenever a response of the service changes the state. */
static uint64_t progress_sum(const struct bb_source_status *status)
{
	return status->versions_accepted + status->versions_refused +
	       status->candidate_version;
}

static bool is_bundle(const struct transfer *t)
{
	return g_str_has_prefix(t->name, BB_BUNDLE_PREFIX);
}

static void handle_page(struct bb_source_http *h, struct transfer *t)
{
	const struct bb_source_status *status = &h->source->status;
	uint64_t before = progress_sum(status);
	bool watch = t == &h->transfers[0];
	struct bb_error err = { 0 };
	struct bb_page *page = bb_page_decode(
		t->name, (const char *)t->body->data, t->body->len, &err);
	int rc = -1;

	if (page)
		rc = is_bundle(t) ?
			     bb_source_offer_bundle(h->source, page, &err) :
			     bb_source_offer_page(h->source, page, &err);
	bb_page_delete(page);
	if (rc && progress_sum(status) == before) {
		back_off(h, err.message);
		return;
	}
	/* Without a delay, a stale replica would be read in a loop. */
	if (watch && progress_sum(status) == before) {
		back_off(h, "the replica has no newer version");
		return;
	}
	h->consecutive_failures = 0;
	if (watch && status->candidate_version)
		h->not_before_us =
			h->now_us +
			(int64_t)(random_fraction(h) *
				  (double)h->source->options.read_jitter_us);
}

/* A watch that ended without a change proves that there is no newer version. */
static void confirm_latest(struct bb_source *s, int64_t started_us)
{
	if (!s->status.candidate_version &&
	    s->status.refused_version <= s->status.version)
		s->status.latest_confirmed_us = started_us;
}

static void finish_transfer(struct bb_source_http *h, struct transfer *t,
			    CURLcode result)
{
	bool watch = t == &h->transfers[0];
	long status = 0;
	char reason[64];

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	if (result != CURLE_OK) {
		back_off(h, curl_easy_strerror(result));
	} else if (status == 200) {
		handle_page(h, t);
	} else if (watch && status == 204) {
		h->consecutive_failures = 0;
		confirm_latest(h->source, t->started_us);
	} else {
		g_snprintf(reason, sizeof(reason), "status %ld", status);
		back_off(h, reason);
	}
	end_transfer(h, t);
}

static void finish_transfers(struct bb_source_http *h)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(h->multi, &left))) {
		for (size_t i = 0; i < G_N_ELEMENTS(h->transfers); i++) {
			if (message->msg == CURLMSG_DONE &&
			    h->transfers[i].easy == message->easy_handle) {
				finish_transfer(h, &h->transfers[i],
						message->data.result);
				break;
			}
		}
	}
}

static void start_read(struct bb_source_http *h, struct transfer *t,
		       const char *url, int64_t timeout_us)
{
	const struct bb_source_options *o = &h->source->options;

	t->easy = curl_easy_init();
	if (!t->easy) {
		back_off(h, "out of memory");
		return;
	}
	t->started_us = h->now_us;
	curl_easy_setopt(t->easy, CURLOPT_URL, url);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS,
			 (long)(timeout_us / BB_US_PER_MS));
	curl_easy_setopt(t->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(o->timeout_us / BB_US_PER_MS));
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_multi_add_handle(h->multi, t->easy);
	h->tokens -= 1;
	h->source->status.reads++;
	bb_metrics_add(BB_METRIC_CONFIG_READS, 1);
}

static void start_watch(struct bb_source_http *h)
{
	const struct bb_source_status *status = &h->source->status;
	/* Otherwise the service would return a refused version at once. */
	uint64_t version = MAX(MAX(status->version, status->refused_version),
			       status->candidate_version);
	char *url = g_strdup_printf("%s/v1/watch?version=%" G_GUINT64_FORMAT
				    "&wait_ms=%" G_GINT64_FORMAT,
				    h->source->options.url, (guint64)version,
				    h->source->options.watch_us / BB_US_PER_MS);

	g_strlcpy(h->transfers[0].name, BB_PAGE_INDEX,
		  sizeof(h->transfers[0].name));
	start_read(h, &h->transfers[0], url,
		   h->source->options.watch_us + WATCH_MARGIN_US);
	g_free(url);
}

static bool is_being_read(const struct bb_source_http *h, const char *name)
{
	for (size_t i = 1; i < G_N_ELEMENTS(h->transfers); i++)
		if (h->transfers[i].easy && !strcmp(h->transfers[i].name, name))
			return true;
	return false;
}

static bool start_named_read(struct bb_source_http *h, struct transfer *t)
{
	char *url = g_strdup_printf("%s/v1/pages/%s", h->source->options.url,
				    t->name);

	start_read(h, t, url, h->source->options.timeout_us);
	g_free(url);
	return t->easy != NULL;
}

/* Starts to read a page or a bundle; false if there is none to read. */
static bool start_page_read(struct bb_source_http *h)
{
	const char *names[1 + PAGE_READS_MAX];
	size_t nr =
		bb_source_missing_pages(h->source, names, G_N_ELEMENTS(names));
	struct transfer *t = NULL;
	bool bundle_in_progress = false;

	for (size_t i = 1; i < G_N_ELEMENTS(h->transfers); i++) {
		if (!h->transfers[i].easy)
			t = &h->transfers[i];
		else
			bundle_in_progress |= is_bundle(&h->transfers[i]);
	}
	if (!t)
		return false;
	if (bb_source_next_bundle(h->source, t->name))
		return start_named_read(h, t);
	/* A bundle that is being read may contain the missing pages. */
	for (size_t i = 0; !bundle_in_progress && i < nr; i++) {
		if (is_being_read(h, names[i]))
			continue;
		g_strlcpy(t->name, names[i], sizeof(t->name));
		return start_named_read(h, t);
	}
	return false;
}

static void refill_tokens(struct bb_source_http *h)
{
	const struct bb_source_options *o = &h->source->options;
	double elapsed_s = (double)(h->now_us - h->tokens_at_us) / BB_US_PER_S;

	h->tokens = MIN(h->tokens + MAX(elapsed_s, 0) * o->reads_per_s,
			o->reads_burst);
	h->tokens_at_us = h->now_us;
}

/* Starts reads within the rate limit; returns when the next may start. */
static int64_t start_reads(struct bb_source_http *h)
{
	refill_tokens(h);
	if (h->now_us < h->not_before_us)
		return h->not_before_us;
	/* Pages before the watch: they complete a version known to be newer. */
	while (h->tokens >= 1 && start_page_read(h))
		;
	if (h->tokens >= 1 && !h->transfers[0].easy)
		start_watch(h);
	if (h->now_us < h->not_before_us)
		return h->not_before_us;
	if (h->tokens >= 1)
		return INT64_MAX;
	return h->now_us +
	       (int64_t)((1 - h->tokens) / h->source->options.reads_per_s *
			 BB_US_PER_S) +
	       1;
}

int64_t bb_source_http_perform(struct bb_source_http *h, int64_t now_us)
{
	struct epoll_event events[EVENTS_MAX];
	int64_t next;
	int running;
	int nr;

	h->now_us = now_us;
	nr = epoll_wait(h->epoll_fd, events, EVENTS_MAX, 0);
	for (int i = 0; i < nr; i++) {
		int flags = 0;

		if (events[i].events & (EPOLLIN | EPOLLHUP))
			flags |= CURL_CSELECT_IN;
		if (events[i].events & EPOLLOUT)
			flags |= CURL_CSELECT_OUT;
		if (events[i].events & EPOLLERR)
			flags |= CURL_CSELECT_ERR;
		curl_multi_socket_action(h->multi, events[i].data.fd, flags,
					 &running);
	}
	if (now_us >= h->timer_at_us) {
		h->timer_at_us = INT64_MAX;
		curl_multi_socket_action(h->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
	finish_transfers(h);
	next = start_reads(h);
	return MIN(next, h->timer_at_us);
}
