#include "libnode/executor.h"

#include <assert.h>
#include <curl/curl.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "libnode/connections.h"
#include "libnode/headers.h"
#include "libnode/loop.h"
#include "libnode/socket.h"

const char *const bb_execution_end_string[] = {
	"done",	     "not sent", "timeout",	"broken", "truncated",
	"too large", "refused",	 "misdirected", "foreign"
};

static_assert(sizeof(bb_execution_end_string) /
			      sizeof(*bb_execution_end_string) ==
		      BB_EXECUTION_END_COUNT,
	      "bb_execution_end_string needs one string per bb_execution_end");

const char *const bb_body_end_string[] = { "length", "framed", "close" };

static_assert(sizeof(bb_body_end_string) / sizeof(*bb_body_end_string) ==
		      BB_BODY_END_COUNT,
	      "bb_body_end_string needs one string per bb_body_end");

/* Limit on a response head, with interim responses and trailers: several times
 * what callers may send. */
#define RESPONSE_HEAD_MAX_BYTES ((size_t)64 * 1024)
/* Limit on idle connections kept to all backend servers together. */
#define IDLE_CONNECTIONS_MAX 256L
/* Largest status that HTTP has; libcurl rejects those below 100. */
#define HTTP_STATUS_MAX 599
/* Status of a connection that is no longer HTTP, which no request asks for. */
#define HTTP_SWITCHING_PROTOCOLS 101
/* Status of a server that is not the one the request is for. */
#define HTTP_MISDIRECTED 421
/*
 * TCP_USER_TIMEOUT: time after which a connection counts as broken because data
 * or a keepalive probe was not acknowledged.
 */
#define UNACKNOWLEDGED_MAX_MS 1500u
/* Idle time before a keepalive probe, and interval between two probes. */
#define KEEPALIVE_INTERVAL_S 1L
/* Longest time to open a connection. */
#define CONNECT_TIMEOUT_MS 1000L

/**
 * struct bb_executor - libcurl on the main loop of a thread.
 * @timer: time-out that libcurl asked for
 * @executions: set of the executions in progress
 * @connections: open connections, as far as libcurl reports them
 * @body_bytes: sum of the response bodies in progress
 */
struct bb_executor {
	GMainContext *context;
	CURLM *multi;
	GSource *timer;
	GHashTable *executions;
	struct bb_connections *connections;
	size_t body_bytes;
};

/**
 * struct bb_execution - a request in progress.
 * @headers: request headers
 * @origin: URL of the backend server without the target
 * @max_body: limit on the response body in bytes
 * @connection: connection in use
 * @at_most_once: it must not be sent twice
 * @reuse_us: see struct bb_execution_request
 * @opened: it opened a connection
 * @sent: it had an established connection, so that it may have been sent
 * @ended: why this end ended it before it was sent (again): it must not be sent
 *         twice, or the connection was idle for too long
 * @got_bytes: a byte of the response was received
 * @head_bytes: size of all heads and trailers so far
 * @head_complete: the head of the final response was received
 * @header_too_large: a header of the response does not fit into a RESULT
 * @no_body: the response has no body, as for HEAD
 * @body_length_known: the head tells where the body ends
 * @has_content_length: the head has the length of the body
 * @not_executed: the response states that the request was not run
 * @request_id: value of the request id header of the dialect, or NULL
 * @identified: the head of the response has the request id
 * @foreign_id: request id in the response if it is that of another request, or
 *              NULL
 * @started_us: when the request was started
 * @timeout_us: limit on the time from then
 * @detail: error text of libcurl
 */
struct bb_execution {
	struct bb_executor *executor;
	CURL *easy;
	struct curl_slist *headers;
	char *origin;
	char *url;
	size_t max_body;
	struct bb_connection_use connection;
	bool at_most_once;
	int64_t reuse_us;
	bool opened;
	bool sent;
	enum { NOT_ENDED, SENT_ALREADY, IDLE_TOO_LONG } ended;
	bool got_bytes;
	bool too_large;
	size_t head_bytes;
	bool head_complete;
	bool header_too_large;
	bool no_body;
	bool body_length_known;
	bool has_content_length;
	bool not_executed;
	const struct bb_dialect *dialect;
	char *request_id;
	bool identified;
	char *foreign_id;
	int64_t started_us;
	int64_t timeout_us;
	GByteArray *response_body;
	GString *response_head;
	GArray *response_headers;
	bb_execution_done *done;
	void *data;
	char detail[CURL_ERROR_SIZE];
};

static void free_execution(void *data)
{
	struct bb_execution *x = data;

	bb_connections_release(x->executor->connections, &x->connection, x);
	curl_multi_remove_handle(x->executor->multi, x->easy);
	curl_easy_cleanup(x->easy);
	x->executor->body_bytes -= x->response_body->len;
	curl_slist_free_all(x->headers);
	g_free(x->origin);
	g_free(x->url);
	g_free(x->request_id);
	g_free(x->foreign_id);
	g_byte_array_unref(x->response_body);
	g_string_free(x->response_head, TRUE);
	g_array_unref(x->response_headers);
	g_free(x);
}

/* Whether the response is not, or not provably, that to this request. */
static bool is_foreign(const struct bb_execution *x)
{
	return x->foreign_id ||
	       (x->request_id && x->head_complete && !x->identified);
}

/* Whether all that the response declares was received. */
static bool has_declared_length(const struct bb_execution *x)
{
	curl_off_t length = -1;

	curl_easy_getinfo(x->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
	return x->head_complete && x->has_content_length &&
	       length == (curl_off_t)x->response_body->len;
}

static enum bb_execution_end classify(const struct bb_execution *x,
				      CURLcode code, long status)
{
	long request_size = 0;

	if (is_foreign(x))
		return BB_EXECUTION_FOREIGN;
	/* Neither its status nor what else it says can be trusted. */
	if (x->head_complete && status > HTTP_STATUS_MAX)
		return BB_EXECUTION_BROKEN;
	if (x->ended == SENT_ALREADY)
		return BB_EXECUTION_BROKEN;
	/* libcurl also takes a head that the connection cut off, and that of a
	 * 101, for a response. */
	if (code == CURLE_OK && !x->head_complete)
		return BB_EXECUTION_BROKEN;
	if (x->head_complete && status == HTTP_MISDIRECTED &&
	    x->dialect->backend_id)
		return BB_EXECUTION_MISDIRECTED;
	if (x->not_executed)
		return BB_EXECUTION_REFUSED;
	if (x->header_too_large && x->head_complete)
		return BB_EXECUTION_TOO_LARGE;
	if (x->too_large)
		return x->has_content_length ? BB_EXECUTION_TOO_LARGE :
					       BB_EXECUTION_TRUNCATED;
	/*
	 * The body ended regularly or with its connection; after a reset,
	 * libcurl reports an error also without a known length.
	 */
	if (code == CURLE_OK)
		return x->body_length_known || x->dialect->close_ends_body ?
			       BB_EXECUTION_DONE :
			       BB_EXECUTION_TRUNCATED;
	/* A backend server may answer before it has read the request body; libcurl
	 * goes on to send it, and fails or times out then. */
	if (has_declared_length(x))
		return BB_EXECUTION_DONE;
	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &request_size);
	if (!request_size && !x->head_complete)
		return BB_EXECUTION_NOT_SENT;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return BB_EXECUTION_TIMEOUT;
	return x->head_complete ? BB_EXECUTION_TRUNCATED : BB_EXECUTION_BROKEN;
}

static void inspect_header(struct bb_execution *x, const struct bb_header *h)
{
	const struct bb_dialect *d = x->dialect;

	if (bb_header_is(&h->name, "content-length"))
		x->has_content_length = x->body_length_known = true;
	if (bb_header_is(&h->name, "transfer-encoding"))
		x->body_length_known = true;
	if (bb_header_named(&h->name, d->not_executed))
		x->not_executed = x->head_complete;
}

static void parse_head(struct bb_execution *x)
{
	const char *p = x->response_head->str;
	const char *end = p + x->response_head->len;

	while (p < end) {
		const char *eol = memchr(p, '\n', (size_t)(end - p));
		const char *stop = eol ? eol : end;
		struct bb_header h;

		if (bb_header_parse(p, (size_t)(stop - p), &h)) {
			inspect_header(x, &h);
			if (!bb_header_is_hop_by_hop(&h.name) &&
			    x->response_headers->len < BB_HEADERS_MAX)
				g_array_append_val(x->response_headers, h);
		}
		p = stop + 1;
	}
}

/* Whether its connection was opened for an earlier request. */
static bool uses_kept_connection(const struct bb_execution *x)
{
	return x->connection.serial && x->connection.opened_us < x->started_us;
}

/* Return: number of idle connections closed. */
static unsigned int update_connections(struct bb_execution *x, bool timed_out)
{
	struct bb_connections *c = x->executor->connections;
	unsigned int nr = 0;

	if (x->head_complete)
		nr = bb_connections_answered(c, &x->connection, x->origin,
					     bb_clock_now_us());
	else if (timed_out && uses_kept_connection(x) && !x->got_bytes)
		nr = bb_connections_request_timed_out(c, x->origin,
						      x->started_us);
	bb_connections_release(c, &x->connection, x);
	return nr;
}

static enum bb_body_end body_end(const struct bb_execution *x)
{
	if (x->has_content_length)
		return BB_BODY_END_LENGTH;
	return x->body_length_known ? BB_BODY_END_FRAMED : BB_BODY_END_CLOSE;
}

static void finish_execution(struct bb_execution *x, CURLcode code)
{
	struct bb_execution_result r = { 0 };
	long status = 0;
	long connects = 0;
	long local_port = 0;
	long os_errno = 0;

	curl_easy_getinfo(x->easy, CURLINFO_OS_ERRNO, &os_errno);
	curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(x->easy, CURLINFO_NUM_CONNECTS, &connects);
	curl_easy_getinfo(x->easy, CURLINFO_LOCAL_PORT, &local_port);
	x->body_length_known = x->no_body || status == 204 || status == 304;
	parse_head(x);
	r.end = classify(x, code, status);
	r.status = x->head_complete ? (unsigned int)status : 0;
	r.headers = (struct bb_header *)(void *)x->response_headers->data;
	r.headers_nr = x->response_headers->len;
	if (x->dialect->decode_notice &&
	    (r.end == BB_EXECUTION_DONE || r.end == BB_EXECUTION_REFUSED))
		r.notice = x->dialect->decode_notice(r.headers, r.headers_nr);
	r.body.data = (const char *)x->response_body->data;
	r.body.size = x->response_body->len;
	r.latency_us = bb_clock_now_us() - x->started_us;
	r.connect_refused = r.end == BB_EXECUTION_NOT_SENT &&
			    os_errno == ECONNREFUSED;
	r.new_connection = connects > 0;
	r.local_port = (unsigned int)local_port;
	r.body_end = body_end(x);
	r.opened_us = x->connection.opened_us;
	r.closed_idle = update_connections(x, r.end == BB_EXECUTION_TIMEOUT);
	if (x->foreign_id)
		g_snprintf(x->detail, sizeof(x->detail),
			   "the answer has the request id %s", x->foreign_id);
	else if (is_foreign(x))
		g_strlcpy(x->detail, "the answer has no request id",
			  sizeof(x->detail));
	r.detail = x->detail[0] ? x->detail : curl_easy_strerror(code);
	x->done(x->data, &r);
	g_hash_table_remove(x->executor->executions, x);
}

/*
 * Starts an execution again, on a new connection, that was ended before it was
 * sent because the connection may have been forgotten by the backend server.
 */
static bool start_on_new_connection(struct bb_execution *x)
{
	int64_t left_us = x->started_us + x->timeout_us - bb_clock_now_us();

	if (x->ended != IDLE_TOO_LONG || left_us < BB_US_PER_MS)
		return false;
	bb_connections_release(x->executor->connections, &x->connection, x);
	x->connection = (struct bb_connection_use){ 0 };
	x->ended = NOT_ENDED;
	x->detail[0] = '\0';
	curl_multi_remove_handle(x->executor->multi, x->easy);
	curl_easy_setopt(x->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(x->easy, CURLOPT_TIMEOUT_MS,
			 (long)(left_us / BB_US_PER_MS));
	return curl_multi_add_handle(x->executor->multi, x->easy) == CURLM_OK;
}

static void finish_completed(struct bb_executor *e)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(e->multi, &left))) {
		struct bb_execution *x;

		if (m->msg != CURLMSG_DONE)
			continue;
		/* Not valid after a change of the handle. */
		CURLcode code = m->data.result;

		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &x);
		if (!start_on_new_connection(x))
			finish_execution(x, code);
	}
}

static gboolean on_socket_event(gint fd, GIOCondition condition, gpointer data)
{
	struct bb_executor *e = data;
	int running;
	int events = 0;

	if (condition & (G_IO_IN | G_IO_HUP))
		events |= CURL_CSELECT_IN;
	if (condition & G_IO_OUT)
		events |= CURL_CSELECT_OUT;
	if (condition & G_IO_ERR)
		events |= CURL_CSELECT_ERR;
	curl_multi_socket_action(e->multi, fd, events, &running);
	finish_completed(e);
	return G_SOURCE_CONTINUE;
}

static void track_socket(struct bb_executor *e, CURL *easy, int fd)
{
	struct bb_execution *x = NULL;

	/* libcurl also has internal handles, without an execution. */
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &x);
	if (x)
		bb_connections_use(e->connections, fd, x, &x->connection);
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *data,
		     void *socket_data)
{
	struct bb_executor *e = data;
	GSource *source = socket_data;
	GIOCondition condition = 0;

	if (what != CURL_POLL_REMOVE)
		track_socket(e, easy, fd);
	bb_loop_remove(&source);
	if (what == CURL_POLL_REMOVE) {
		curl_multi_assign(e->multi, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		condition |= G_IO_IN | G_IO_HUP | G_IO_ERR;
	if (what & CURL_POLL_OUT)
		condition |= G_IO_OUT | G_IO_ERR;
	source = bb_loop_add_fd(e->context, fd, condition, on_socket_event, e);
	curl_multi_assign(e->multi, fd, source);
	return 0;
}

static gboolean on_timer(gpointer data)
{
	struct bb_executor *e = data;
	int running;

	bb_loop_remove(&e->timer);
	curl_multi_socket_action(e->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_completed(e);
	return G_SOURCE_REMOVE;
}

static int on_timer_change(CURLM *multi, long timeout_ms, void *data)
{
	struct bb_executor *e = data;

	(void)multi;
	bb_loop_remove(&e->timer);
	if (timeout_ms >= 0)
		e->timer = bb_loop_add_timeout(
			e->context, timeout_ms * BB_US_PER_MS, on_timer, e);
	return 0;
}

static curl_socket_t on_open_socket(void *data, curlsocktype purpose,
				    struct curl_sockaddr *address)
{
	struct bb_execution *x = data;
	unsigned int unacknowledged_ms = UNACKNOWLEDGED_MAX_MS;
	int fd;

	(void)purpose;
	if (x->at_most_once && x->sent) {
		x->ended = SENT_ALREADY;
		return CURL_SOCKET_BAD;
	}
	fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
		    address->protocol);
	if (fd < 0)
		return CURL_SOCKET_BAD;
	if (x->connection.serial) {
		bb_metrics_add(BB_METRIC_REQUESTS_RESENT, 1);
		bb_log_event(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, x->request_id,
			     "resent", "origin=%s same_descriptor=%d",
			     x->origin, fd == x->connection.fd);
	}
	if (setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
		       sizeof(unacknowledged_ms)))
		bb_log_warning(BB_LOG_BACKEND,
			       "cannot set TCP_USER_TIMEOUT of a connection to "
			       "a backend server: %s; using the default",
			       g_strerror(errno));
	bb_connections_release(x->executor->connections, &x->connection, x);
	x->connection = bb_connections_opened(x->executor->connections, fd,
					      x->origin, x, bb_clock_now_us());
	x->opened = true;
	return fd;
}

/* Whether the connection, opened by an earlier request, was idle for longer than
 * a request that cannot be sent again may use. */
static bool is_idle_too_long(const struct bb_execution *x, int local_port)
{
	return x->at_most_once && !x->opened &&
	       bb_connections_idle_us(x->executor->connections, x->origin,
				      (unsigned int)local_port,
				      bb_clock_now_us()) > x->reuse_us;
}

/*
 * libcurl calls this when the request has an established connection, before it
 * is sent, also before it is sent again because the connection was closed. The
 * types of the parameters are those of curl_prereq_callback.
 */
/* NOLINTNEXTLINE(readability-non-const-parameter) */
static int on_connected(void *data, char *remote_address, char *local_address,
			int remote_port, int local_port)
{
	struct bb_execution *x = data;

	(void)remote_address;
	(void)local_address;
	(void)remote_port;
	if (x->at_most_once && x->sent)
		x->ended = SENT_ALREADY;
	else if (is_idle_too_long(x, local_port))
		x->ended = IDLE_TOO_LONG;
	if (x->ended != NOT_ENDED)
		return CURL_PREREQFUNC_ABORT;
	x->sent = true;
	bb_connections_established(x->executor->connections, &x->connection,
				   (unsigned int)local_port);
	return CURL_PREREQFUNC_OK;
}

static int on_close_socket(void *data, curl_socket_t fd)
{
	struct bb_executor *e = data;

	bb_connections_closed(e->connections, fd);
	return close(fd);
}

/* libcurl notices the end before it would reuse the connection. */
static void close_idle(void *data, const struct bb_idle_connection *n)
{
	(void)data;
	bb_log_event(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, NULL,
		     "idle_connection_closed",
		     "origin=%s reason=%s port=%u requests=%u"
		     " open_ms=%" G_GINT64_FORMAT,
		     n->origin, bb_connection_fault_string[n->fault],
		     bb_socket_local_port(n->fd), n->requests_nr,
		     (bb_clock_now_us() - n->opened_us) / BB_US_PER_MS);
	if (bb_socket_break_off(n->fd))
		bb_log_warning(BB_LOG_BACKEND,
			       "cannot close an idle connection to %s: %s; it "
			       "may be used again",
			       n->origin, g_strerror(errno));
}

struct bb_executor *bb_executor_new(GMainContext *context, struct bb_error *err)
{
	struct bb_executor *e = g_new0(struct bb_executor, 1);

	e->context = context;
	e->multi = curl_multi_init();
	if (!e->multi) {
		bb_error_set(err, BB_ERROR_NO_MEMORY,
			     "cannot create libcurl multi handle");
		g_free(e);
		return NULL;
	}
	e->connections = bb_connections_new(close_idle, e);
	e->executions = g_hash_table_new_full(NULL, NULL, free_execution, NULL);
	curl_multi_setopt(e->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(e->multi, CURLMOPT_SOCKETDATA, e);
	curl_multi_setopt(e->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
	curl_multi_setopt(e->multi, CURLMOPT_TIMERDATA, e);
	curl_multi_setopt(e->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS_MAX);
	curl_multi_setopt(e->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	return e;
}

/* Whether a body of this size would exceed the limit on the sum of all, while
 * the others that are in progress need their shares. */
static bool is_over_share(const struct bb_executor *e, size_t size, size_t n)
{
	return e->body_bytes + n > BB_EXECUTOR_BODIES_MAX_BYTES &&
	       size > BB_EXECUTOR_BODIES_MAX_BYTES /
			       MAX(1, g_hash_table_size(e->executions));
}

static size_t on_body(char *data, size_t size, size_t nr, void *user)
{
	struct bb_execution *x = user;
	size_t n = size * nr;
	size_t total = x->response_body->len + n;

	x->got_bytes = true;
	if (total > x->max_body || is_over_share(x->executor, total, n)) {
		x->too_large = true;
		return 0;
	}
	g_byte_array_append(x->response_body, (const guint8 *)data, (guint)n);
	x->executor->body_bytes += n;
	return n;
}

static bool is_request_id(const struct bb_execution *x,
			  const struct bb_bytes *value)
{
	return value->size == strlen(x->request_id) &&
	       !memcmp(value->data, x->request_id, value->size);
}

static void check_request_id(struct bb_execution *x, const struct bb_header *h)
{
	if (!x->request_id ||
	    !bb_header_named(&h->name, x->dialect->request_id))
		return;
	if (is_request_id(x, &h->value))
		x->identified = true;
	else if (!x->foreign_id)
		x->foreign_id = g_strndup(h->value.data, h->value.size);
}

static void check_header(struct bb_execution *x, const char *line, size_t n)
{
	struct bb_header h;

	if (!bb_header_parse(line, n, &h))
		return;
	check_request_id(x, &h);
	if (h.name.size > BB_HEADER_NAME_MAX ||
	    h.value.size > BB_HEADER_VALUE_MAX)
		x->header_too_large = true;
}

/*
 * Return: @n, or 0 after the head or a trailer of a response that is not the
 * one to this request, or that cannot be passed on. Then libcurl ends the
 * execution and closes the connection, on which the response to this request
 * would be taken for that to the next one.
 */
static size_t continue_if_usable(const struct bb_execution *x, size_t n)
{
	return is_foreign(x) || x->header_too_large ? 0 : n;
}

static size_t on_header(char *data, size_t size, size_t nr, void *user)
{
	struct bb_execution *x = user;
	size_t n = size * nr;

	x->got_bytes = true;
	x->head_bytes += n;
	if (x->head_bytes > RESPONSE_HEAD_MAX_BYTES)
		return 0;
	/* A status line starts a new head, for example after 100 Continue. */
	if (n >= 5 && !memcmp(data, "HTTP/", 5)) {
		g_string_truncate(x->response_head, 0);
		x->head_complete = false;
		x->header_too_large = false;
		x->identified = false;
		return n;
	}
	if (n <= 2) {
		long status = 0;

		curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
		x->head_complete = status >= 200;
		/* libcurl would wait for a body and keep the connection. */
		if (status == HTTP_SWITCHING_PROTOCOLS)
			return 0;
		return continue_if_usable(x, n);
	}
	g_string_append_len(x->response_head, data, (gssize)n);
	check_header(x, data, n);
	return x->head_complete ? continue_if_usable(x, n) : n;
}

static void append_header(struct bb_execution *x, const char *name,
			  size_t name_size, const char *value,
			  size_t value_size)
{
	/* libcurl drops "Name:" and sends an empty value for "Name;". */
	char *line = value_size ?
			     g_strdup_printf("%.*s: %.*s", (int)name_size, name,
					     (int)value_size, value) :
			     g_strdup_printf("%.*s;", (int)name_size, name);

	x->headers = curl_slist_append(x->headers, line);
	g_free(line);
}

static void append_text(struct bb_execution *x, const char *name,
			const char *value)
{
	if (name && value)
		append_header(x, name, strlen(name), value, strlen(value));
}

static void keep_request_id(struct bb_execution *x, const struct bb_header *h)
{
	if (!x->request_id && bb_header_named(&h->name, x->dialect->request_id))
		x->request_id = g_strndup(h->value.data, h->value.size);
}

static void set_headers(struct bb_execution *x,
			const struct bb_execution_request *r)
{
	char deadline[32];

	for (size_t i = 0; i < r->headers_nr; i++) {
		append_header(x, r->headers[i].name.data,
			      r->headers[i].name.size, r->headers[i].value.data,
			      r->headers[i].value.size);
		keep_request_id(x, &r->headers[i]);
	}
	if (r->traceparent.size)
		append_header(x, "traceparent", strlen("traceparent"),
			      r->traceparent.data, r->traceparent.size);
	g_snprintf(deadline, sizeof(deadline), "%" G_GINT64_FORMAT,
		   r->timeout_us / BB_US_PER_MS);
	append_text(x, x->dialect->deadline, deadline);
	append_text(x, x->dialect->backend_id, r->backend_id);
	/* Without "Expect:" libcurl re-sends a body on 417. */
	x->headers = curl_slist_append(x->headers, "Expect:");
	x->headers = curl_slist_append(x->headers, "Accept-Encoding:");
}

static bool needs_new_connection(const struct bb_execution *x)
{
	const struct bb_connections *c = x->executor->connections;

	if (bb_connections_avoid_reuse(c, x->origin))
		return true;
	return x->at_most_once &&
	       (!x->reuse_us ||
		bb_connections_least_idle_us(c, x->origin, x->started_us) >
			x->reuse_us);
}

static void set_options(struct bb_execution *x,
			const struct bb_execution_request *r)
{
	CURL *c = x->easy;
	char *method = g_strndup(r->method.data, r->method.size);

	curl_easy_setopt(c, CURLOPT_URL, x->url);
	curl_easy_setopt(c, CURLOPT_PRIVATE, x);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(c, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(c, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(c, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS,
			 MAX(1L, (long)(r->timeout_us / BB_US_PER_MS)));
	curl_easy_setopt(c, CURLOPT_TCP_KEEPALIVE, 1L);
	if (r->long_poll) {
		curl_easy_setopt(c, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S);
		curl_easy_setopt(c, CURLOPT_TCP_KEEPINTVL,
				 KEEPALIVE_INTERVAL_S);
	}
	curl_easy_setopt(c, CURLOPT_ERRORBUFFER, x->detail);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, x);
	curl_easy_setopt(c, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
	curl_easy_setopt(c, CURLOPT_OPENSOCKETDATA, x);
	curl_easy_setopt(c, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(c, CURLOPT_PREREQDATA, x);
	/* The connection, and so this callback, may outlive the execution.
	 * libcurl does not call it for one that was never established. */
	curl_easy_setopt(c, CURLOPT_CLOSESOCKETFUNCTION, on_close_socket);
	curl_easy_setopt(c, CURLOPT_CLOSESOCKETDATA, x->executor);
	if (needs_new_connection(x))
		curl_easy_setopt(c, CURLOPT_FRESH_CONNECT, 1L);
	if (r->at_most_once && !r->reuse_us)
		curl_easy_setopt(c, CURLOPT_FORBID_REUSE, 1L);
	if (!strcmp(method, "HEAD")) {
		curl_easy_setopt(c, CURLOPT_NOBODY, 1L);
		x->no_body = true;
	} else if (r->body.size || !strcmp(method, "POST") ||
		   !strcmp(method, "PUT") || !strcmp(method, "PATCH")) {
		curl_easy_setopt(c, CURLOPT_POST, 1L);
		curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)r->body.size);
		/* libcurl reads the bytes from here and makes no copy. */
		curl_easy_setopt(c, CURLOPT_POSTFIELDS,
				 r->body.size ? r->body.data : "");
	}
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	set_headers(x, r);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, x->headers);
	g_free(method);
}

static bool has_bytes(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* libcurl would reuse a connection on which bytes arrived while it was idle. */
static void close_unsolicited(struct bb_executor *e, const char *origin)
{
	unsigned int nr = bb_connections_close_unsolicited(e->connections,
							   origin, has_bytes);

	if (!nr)
		return;
	bb_metrics_add(BB_METRIC_UNSOLICITED_ANSWERS, nr);
	bb_log_event(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, NULL,
		     "unsolicited_answer", "origin=%s connections=%u", origin,
		     nr);
}

struct bb_execution *bb_executor_start(struct bb_executor *e,
				       const struct bb_execution_request *r,
				       bb_execution_done *done, void *data,
				       struct bb_error *err)
{
	struct bb_execution *x = g_new0(struct bb_execution, 1);

	x->executor = e;
	x->done = done;
	x->data = data;
	x->max_body = r->max_body;
	x->dialect = r->dialect ? r->dialect : &bb_dialect_default;
	x->started_us = bb_clock_now_us();
	x->at_most_once = r->at_most_once;
	x->reuse_us = r->reuse_us;
	x->timeout_us = r->timeout_us;
	x->origin = g_strdup(r->url);
	x->url = g_strdup_printf("%s%.*s", r->url, (int)r->target.size,
				 r->target.data);
	x->response_body = g_byte_array_new();
	x->response_head = g_string_new(NULL);
	x->response_headers =
		g_array_new(FALSE, FALSE, sizeof(struct bb_header));
	x->easy = curl_easy_init();
	if (!r->at_most_once || r->reuse_us)
		close_unsolicited(e, r->url);
	if (x->easy)
		set_options(x, r);
	if (!x->easy || curl_multi_add_handle(e->multi, x->easy) != CURLM_OK) {
		bb_error_set(err, BB_ERROR_NO_MEMORY,
			     "cannot create libcurl handle for a request");
		free_execution(x);
		return NULL;
	}
	g_hash_table_add(e->executions, x);
	return x;
}

void bb_executor_cancel(struct bb_execution *x)
{
	g_hash_table_remove(x->executor->executions, x);
}

unsigned int bb_executor_cancel_timed_out(struct bb_execution *x)
{
	unsigned int nr = update_connections(x, true);

	bb_executor_cancel(x);
	return nr;
}

void bb_executor_delete(struct bb_executor *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->executions);
	/* Closes the idle connections. */
	curl_multi_cleanup(e->multi);
	bb_connections_delete(e->connections);
	bb_loop_remove(&e->timer);
	g_free(e);
}
