/* Reads and watches the configuration service through libcurl. */
#include <curl/curl.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "source_internal.h"

/* Pages read at the same time. */
#define PAGE_READS_MAX 4
/* Events taken from the descriptor in one turn. */
#define EVENTS_MAX 16
/* Added to the time for which the service may hold a watch. */
#define WATCH_MARGIN_US (2 * BB_US_PER_S)
/* Doublings of the delay after failures in a row. */
#define BACKOFF_DOUBLINGS_MAX 20

/**
 * struct transfer - a read in progress.
 * @easy: libcurl's handle, NULL when free
 * @name: page name, the index's for the watch
 * @body: bytes received
 * @began_us: time when it began
 */
struct transfer {
	CURL *easy;
	char name[BB_PAGE_NAME_MAX + 1];
	GByteArray *body;
	int64_t began_us;
};

/**
 * struct bb_source_http - HTTP client of a source.
 * @source: the source
 * @multi: libcurl's multi handle
 * @epoll_fd: waits on libcurl's sockets
 * @timer_at_us: when libcurl wants to be called, INT64_MAX for never
 * @now_us: time of the present call
 * @not_before_us: no read begins earlier
 * @tokens: reads that may begin now
 * @tokens_at_us: time when @tokens was brought up to date
 * @failures_in_a_row: decides the delay
 * @logged: reason of the last failure that was logged
 * @transfers: the watch, then page reads
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
	unsigned int failures_in_a_row;
	char logged[BB_ERROR_MESSAGE_SIZE];
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

	/* A short count makes libcurl end the transfer as failed. */
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

static double random_part(const struct bb_source_http *h)
{
	GRand *random = h->source->options.random;

	return random ? g_rand_double(random) : 0.5;
}

/* Delays all reads: exponentially, with half of the delay random. */
static void back_off(struct bb_source_http *h, const char *reason)
{
	const struct bb_source_options *o = &h->source->options;
	unsigned int doublings =
		MIN(h->failures_in_a_row, BACKOFF_DOUBLINGS_MAX);
	double delay = MIN((double)o->backoff_min_us * (1U << doublings),
			   (double)o->backoff_max_us);

	h->failures_in_a_row++;
	h->source->status.read_failures++;
	h->not_before_us =
		h->now_us + (int64_t)(delay * (1 + random_part(h)) / 2);
	/* The reason of a refused version is more useful than a failed read. */
	if (!h->source->status.refused_version)
		g_strlcpy(h->source->status.reason, reason,
			  sizeof(h->source->status.reason));
	/* A series may change its cause, from no connection to bad pages. */
	if (h->failures_in_a_row == 1 || strcmp(reason, h->logged) != 0) {
		g_strlcpy(h->logged, reason, sizeof(h->logged));
		bb_log_warning(BB_LOG_CONFIG,
			       "read of the configuration service failed: %s",
			       reason);
	}
}

/* Sum that grows whenever an answer of the service changed the state. */
static uint64_t progress(const struct bb_source_status *status)
{
	return status->versions_accepted + status->versions_refused +
	       status->candidate_version;
}

static bool is_bundle(const struct transfer *t)
{
	return g_str_has_prefix(t->name, BB_BUNDLE_PREFIX);
}

static void take_page(struct bb_source_http *h, struct transfer *t)
{
	const struct bb_source_status *status = &h->source->status;
	uint64_t before = progress(status);
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
	if (rc && progress(status) == before) {
		back_off(h, err.message);
		return;
	}
	/* Without the delay, a stale replica would be asked in a loop. */
	if (watch && progress(status) == before) {
		back_off(h, "the replica has no newer version");
		return;
	}
	h->failures_in_a_row = 0;
	if (watch && status->candidate_version)
		h->not_before_us =
			h->now_us +
			(int64_t)(random_part(h) *
				  (double)h->source->options.read_jitter_us);
}

/* A watch that ended without a change shows that there is no newer version. */
static void note_current(struct bb_source *s, int64_t began_us)
{
	if (!s->status.candidate_version &&
	    s->status.refused_version <= s->status.version)
		s->status.latest_confirmed_us = began_us;
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
		take_page(h, t);
	} else if (watch && status == 204) {
		h->failures_in_a_row = 0;
		note_current(h->source, t->began_us);
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

static void begin(struct bb_source_http *h, struct transfer *t, const char *url,
		  int64_t timeout_us)
{
	const struct bb_source_options *o = &h->source->options;

	t->easy = curl_easy_init();
	if (!t->easy) {
		back_off(h, "out of memory");
		return;
	}
	t->began_us = h->now_us;
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

static void begin_watch(struct bb_source_http *h)
{
	const struct bb_source_status *status = &h->source->status;
	/* A refused version would be answered again at once. */
	uint64_t version = MAX(MAX(status->version, status->refused_version),
			       status->candidate_version);
	char *url = g_strdup_printf("%s/v1/watch?version=%" G_GUINT64_FORMAT
				    "&wait_ms=%" G_GINT64_FORMAT,
				    h->source->options.url, (guint64)version,
				    h->source->options.watch_us / BB_US_PER_MS);

	g_strlcpy(h->transfers[0].name, BB_PAGE_INDEX,
		  sizeof(h->transfers[0].name));
	begin(h, &h->transfers[0], url,
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

static bool begin_named(struct bb_source_http *h, struct transfer *t)
{
	char *url = g_strdup_printf("%s/v1/pages/%s", h->source->options.url,
				    t->name);

	begin(h, t, url, h->source->options.timeout_us);
	g_free(url);
	return t->easy != NULL;
}

/* Begins to read a page or a bundle; false when there is none to read. */
static bool begin_page(struct bb_source_http *h)
{
	const char *names[1 + PAGE_READS_MAX];
	size_t nr =
		bb_source_missing_pages(h->source, names, G_N_ELEMENTS(names));
	struct transfer *t = NULL;
	bool bundled = false;

	for (size_t i = 1; i < G_N_ELEMENTS(h->transfers); i++) {
		if (!h->transfers[i].easy)
			t = &h->transfers[i];
		else
			bundled |= is_bundle(&h->transfers[i]);
	}
	if (!t)
		return false;
	if (bb_source_next_bundle(h->source, t->name))
		return begin_named(h, t);
	/* A bundle on its way may have the missing pages. */
	for (size_t i = 0; !bundled && i < nr; i++) {
		if (is_being_read(h, names[i]))
			continue;
		g_strlcpy(t->name, names[i], sizeof(t->name));
		return begin_named(h, t);
	}
	return false;
}

static void refill(struct bb_source_http *h)
{
	const struct bb_source_options *o = &h->source->options;
	double elapsed_s = (double)(h->now_us - h->tokens_at_us) / BB_US_PER_S;

	h->tokens = MIN(h->tokens + MAX(elapsed_s, 0) * o->reads_per_s,
			o->reads_burst);
	h->tokens_at_us = h->now_us;
}

/* Begins reads within the budget; returns when the next one may begin. */
static int64_t begin_reads(struct bb_source_http *h)
{
	refill(h);
	if (h->now_us < h->not_before_us)
		return h->not_before_us;
	/* Pages first: they complete a version that is known to be newer. */
	while (h->tokens >= 1 && begin_page(h))
		;
	if (h->tokens >= 1 && !h->transfers[0].easy)
		begin_watch(h);
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
	next = begin_reads(h);
	return MIN(next, h->timer_at_us);
}
