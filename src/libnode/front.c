/*
 * Connections of callers: receives requests, hands admitted ones to the traffic
 * thread and sends the answers. The admission itself is in front_admit.c.
 */
#include "libnode/front_private.h"

#include <ck_pr.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <xxhash.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "baobabward/retry_after.h"
#include "libnode/answer.h"

/*
 * Bytes of a refused request's body that are read before the answer, so that the
 * connection can be kept.
 */
#define ANSWER_EARLY_BYTES ((size_t)1024 * 1024)
/* Longest time to read on after an early answer; callers that read it leave before. */
#define DISCARD_MAX_US (30 * BB_US_PER_S)
/* The same while the node stops. */
#define DISCARD_STOP_MAX_US (2 * BB_US_PER_S)

/* Most connections to check in one bb_front_check_callers(). */
#define CHECKED_CALLERS_MAX 1000u

/* Bytes by which the buffer for a body of unknown length grows at least: a page. */
#define CAPACITY_STEP_BYTES ((size_t)4096)
/* Bytes of an IPv6 address that name the network of a client. */
#define IPV6_NETWORK_BYTES 8

/* Retry-After of a refusal because this node cannot serve (status 503), without
 * the policy rank_order. */
#define RETRY_AFTER_UNAVAILABLE_MS 1000u

static uint32_t retry_after_unavailable_ms(const struct bb_call *c)
{
	if (!c->snapshot || !c->snapshot->config->policies.rank_order)
		return RETRY_AFTER_UNAVAILABLE_MS;
	return (uint32_t)(bb_retry_after_unavailable_us(g_random_double()) /
			  BB_US_PER_MS);
}

static void release_body(struct bb_front *f, struct bb_call *c);

static void set_refusal(struct bb_call *c, enum bb_reason reason)
{
	uint32_t retry_after_ms = bb_reason_status(reason) == 503 ?
					  retry_after_unavailable_ms(c) :
					  0;

	bb_call_refuse(c, BB_VERDICT_NOT_RUN, reason, retry_after_ms);
}

static enum MHD_Result refuse(struct bb_front *f, struct bb_call *c,
			      enum bb_reason reason)
{
	set_refusal(c, reason);
	c->state = BB_CALL_ANSWERED;
	release_body(f, c);
	return bb_answer_queue(c, ck_pr_load_int(&f->draining), f->o.dialect,
			       f->o.history, f->o.memory);
}

/*
 * Creates the call here because libmicrohttpd passes the raw request target to
 * this callback only.
 */
static void *on_uri(void *data, const char *uri,
		    struct MHD_Connection *connection)
{
	struct bb_front *f = data;
	struct bb_snapshot *snapshot = bb_snapshots_get(f->o.snapshots);
	struct bb_call *c;

	if (!snapshot)
		return NULL;
	c = bb_call_new(connection, snapshot);
	bb_snapshot_put(snapshot);
	c->sequence = ck_pr_faa_64(&f->last_sequence, 1) + 1;
	g_snprintf(c->id, sizeof(c->id),
		   "%016" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
		   f->o.incarnation, c->sequence);
	c->target = g_strdup(uri);
	ck_pr_inc_uint(&f->open_requests);
	bb_metrics_add(BB_METRIC_REQUESTS, 1);
	return c;
}

/* Hash of the client's address, of IPv6 of its /64 network, which one client may
 * have all of; 0 if it is not known. */
static uint64_t address_hash(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr *sa = info ? info->client_addr : NULL;

	if (sa && sa->sa_family == AF_INET)
		return XXH3_64bits(
			&((const struct sockaddr_in *)(const void *)sa)
				 ->sin_addr,
			sizeof(struct in_addr));
	if (sa && sa->sa_family == AF_INET6)
		return XXH3_64bits(
			&((const struct sockaddr_in6 *)(const void *)sa)
				 ->sin6_addr,
			IPV6_NETWORK_BYTES);
	return 0;
}

static uint64_t account_hash(const struct bb_call *c)
{
	const char *name = bb_call_account_name(c);

	return *name ? XXH3_64bits(name, strlen(name)) : 0;
}

static bool resize_claim(struct bb_front *f, struct bb_call *c, uint64_t size)
{
	return bb_body_claim_resize(f->o.memory, &c->memory, size,
				    bb_clock_now_us());
}

static struct bb_call *claim_call(struct bb_body_claim *claim)
{
	return (struct bb_call *)(void *)((char *)claim -
					  offsetof(struct bb_call, memory));
}

/*
 * Descriptor of the connection, -1 if there is none. For use in a callback of
 * libmicrohttpd, or of a listed claim with the accounting locked: libmicrohttpd
 * closes the descriptor only after on_completed(), which ends the claim and so
 * waits for the lock.
 */
static int caller_fd(const struct bb_call *c)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		c->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

static void shut_down(int fd)
{
	if (shutdown(fd, SHUT_RDWR))
		bb_log_debug(BB_LOG_FRONT,
			     "cannot shut down a caller's connection: %s",
			     g_strerror(errno));
}

bool bb_front_has_input(void *data, struct bb_body_claim *claim)
{
	int fd = caller_fd(claim_call(claim));
	char byte;

	(void)data;
	return claim->stage == BB_BODY_RECEIVED && fd >= 0 &&
	       recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void bb_front_stalled(void *data, struct bb_body_claim *claim)
{
	const struct bb_call *c = claim_call(claim);

	if (ck_pr_load_int(&c->answered_early) &&
	    !bb_front_has_input(data, claim))
		shut_down(caller_fd(c));
}

void bb_front_give_way(void *data, struct bb_body_claim *claim)
{
	struct bb_call *c = claim_call(claim);

	(void)data;
	bb_log_event(BB_LOG_FRONT, G_LOG_LEVEL_INFO, c->id, "body_gave_way",
		     "stage=%s bytes=%" G_GUINT64_FORMAT
		     " still_ms=%" G_GINT64_FORMAT,
		     claim->stage == BB_BODY_RESPONSE ? "response" : "request",
		     claim->bytes,
		     (bb_clock_now_us() - claim->moved_us) / BB_US_PER_MS);
	if (claim->stage != BB_BODY_RESPONSE) {
		bb_call_free_upload(c);
		return;
	}
	g_byte_array_unref(c->answer.body);
	c->answer.body = NULL;
	shut_down(caller_fd(c));
}

/* The call has no body, or its answer is set, so that the body is not needed. */
static void release_body(struct bb_front *f, struct bb_call *c)
{
	bb_body_claim_end(f->o.memory, &c->memory);
	bb_call_free_upload(c);
	bb_call_free_body(c);
}

/* Counts the response until it has been sent. One that has no room is replaced
 * by a failure. */
static void claim_response(struct bb_front *f, struct bb_call *c)
{
	int64_t now_us = bb_clock_now_us();

	if (!c->answer.body || !c->answer.body->len)
		return;
	bb_body_claim_begin(f->o.memory, &c->memory, BB_BODY_RESPONSE,
			    account_hash(c), address_hash(c->connection),
			    now_us);
	if (bb_body_claim_resize(f->o.memory, &c->memory, c->answer.body->len,
				 now_us))
		return;
	bb_body_claim_end(f->o.memory, &c->memory);
	g_byte_array_unref(c->answer.body);
	c->answer.body = NULL;
	bb_call_refuse(c, c->answer.verdict, BB_REASON_BODY_MEMORY, 0);
}

static bool has_header(const struct bb_call *c, const char *name)
{
	return MHD_lookup_connection_value(c->connection, MHD_HEADER_KIND,
					   name);
}

static bool has_body(const struct bb_call *c)
{
	return c->declared_size || has_header(c, "Transfer-Encoding");
}

/* Declared length of the body, 0 for none or one in chunks. */
static uint64_t declared_length(const struct bb_call *c)
{
	const char *text = MHD_lookup_connection_value(
		c->connection, MHD_HEADER_KIND, "Content-Length");
	guint64 n = 0;

	if (text)
		g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX, &n, NULL);
	return n;
}

static void begin_claim(struct bb_front *f, struct bb_call *c)
{
	bb_body_claim_begin(f->o.memory, &c->memory, BB_BODY_RECEIVED,
			    account_hash(c), address_hash(c->connection),
			    bb_clock_now_us());
}

/*
 * Claims the whole body if its length is declared: one that is admitted then
 * does not fail halfway. Of a body in chunks, memory is claimed as it arrives.
 */
static bool claim_declared(struct bb_front *f, struct bb_call *c)
{
	bool ok;

	begin_claim(f, c);
	ok = resize_claim(f, c, c->declared_size);
	/* A refused claim stays listed, for an early answer. */
	bb_body_claim_moved(f->o.memory, &c->memory, 0, bb_clock_now_us());
	return ok;
}

/*
 * Answers a refused request while its body is still being received. The rest of a
 * body of legal size is read and discarded, so that the caller is not reset before
 * it has read the answer.
 */
static enum MHD_Result answer_early(struct bb_front *f, struct bb_call *c,
				    enum bb_reason reason)
{
	set_refusal(c, reason);
	c->discard_until_us = bb_clock_now_us() + DISCARD_MAX_US;
	if (!bb_answer_send_early(c, caller_fd(c), f->o.dialect, f->o.history))
		return MHD_NO;
	ck_pr_store_int(&c->answered_early, 1);
	/* For bb_front_stalled(). */
	if (!c->memory.listed)
		begin_claim(f, c);
	bb_body_claim_moved(f->o.memory, &c->memory, 0, bb_clock_now_us());
	return MHD_YES;
}

/* Whether to refuse without waiting even for a short body. */
static bool is_refused_at_once(enum bb_reason reason)
{
	switch (reason) {
	case BB_REASON_BAD_REQUEST:
	case BB_REASON_BODY_TOO_LARGE:
	case BB_REASON_HEADERS_TOO_LARGE:
		return true;
	default:
		return false;
	}
}

/*
 * If a response is queued before the body has been read, libmicrohttpd closes
 * the connection, and a caller that is still sending may lose the response to a
 * connection reset. It would not know that the request did not run. A short body
 * is therefore read first, unless the caller waits for "100 Continue" to send it.
 */
static enum MHD_Result refuse_admission(struct bb_front *f, struct bb_call *c,
					enum bb_reason reason)
{
	bool at_once = is_refused_at_once(reason);

	if (!bb_answer_has_room(c))
		return answer_early(f, c, reason);
	if (has_header(c, "Expect") || (at_once && !has_body(c)))
		return refuse(f, c, reason);
	if (at_once || c->declared_size > ANSWER_EARLY_BYTES)
		return answer_early(f, c, reason);
	bb_call_refuse(c, BB_VERDICT_NOT_RUN, reason, 0);
	return MHD_YES;
}

static enum MHD_Result begin_request(struct bb_front *f, struct bb_call *c,
				     const char *method)
{
	enum bb_reason reason;

	c->method = g_strdup(method);
	c->declared_size = declared_length(c);
	reason = bb_front_admit(f, c);
	if (!reason && !bb_answer_has_room(c))
		reason = BB_REASON_HEADERS_TOO_LARGE;
	if (!reason && !claim_declared(f, c))
		reason = BB_REASON_BODY_MEMORY;
	if (reason)
		return refuse_admission(f, c, reason);
	return MHD_YES;
}

static bool may_discard_more(const struct bb_front *f, const struct bb_call *c)
{
	int64_t until_us = c->discard_until_us;

	if (ck_pr_load_int(&f->draining))
		until_us -= DISCARD_MAX_US - DISCARD_STOP_MAX_US;
	return c->discarded_bytes <= BB_REQUEST_BODY_MAX &&
	       bb_clock_now_us() < until_us;
}

/* Reads the body without storing it, so that the caller gets the refusal. */
static enum MHD_Result discard_body(struct bb_front *f, struct bb_call *c,
				    size_t *size)
{
	c->discarded_bytes += *size;
	bb_body_claim_moved(f->o.memory, &c->memory, *size, bb_clock_now_us());
	*size = 0;
	if (c->discarded_bytes <= ANSWER_EARLY_BYTES)
		return MHD_YES;
	if (!ck_pr_load_int(&c->answered_early))
		return answer_early(f, c, c->answer.reason);
	return may_discard_more(f, c) ? MHD_YES : MHD_NO;
}

/* Capacity for a body of at least @size bytes. */
static size_t next_capacity(const struct bb_call *c, size_t size)
{
	size_t grown = c->upload_capacity + c->upload_capacity / 2;

	if (size <= c->declared_size)
		return (size_t)c->declared_size;
	grown = MAX(grown, size) + CAPACITY_STEP_BYTES - 1;
	grown -= grown % CAPACITY_STEP_BYTES;
	return MIN(grown, MAX(size, bb_front_body_max(c)));
}

/* Return: false if there is no memory for the body. The claim is pinned. */
static bool append_upload(struct bb_front *f, struct bb_call *c,
			  const char *data, size_t size)
{
	size_t needed = c->upload_size + size, capacity;

	if (needed > c->upload_capacity) {
		capacity = next_capacity(c, needed);
		if (!resize_claim(f, c, capacity))
			return false;
		c->upload = g_realloc(c->upload, capacity);
		c->upload_capacity = capacity;
	}
	memcpy(c->upload + c->upload_size, data, size);
	c->upload_size = needed;
	bb_body_claim_moved(f->o.memory, &c->memory, size, bb_clock_now_us());
	return true;
}

/* Frees the body of a request that is refused while it is being received. The
 * claim stays listed, for an early answer. */
static void empty_body(struct bb_front *f, struct bb_call *c)
{
	int64_t now_us = bb_clock_now_us();

	bb_body_claim_pin(f->o.memory, &c->memory);
	bb_call_free_upload(c);
	bb_body_claim_resize(f->o.memory, &c->memory, 0, now_us);
	bb_body_claim_moved(f->o.memory, &c->memory, 0, now_us);
}

/* Return: BB_REASON_NONE, or why the request is refused. */
static enum bb_reason take_piece(struct bb_front *f, struct bb_call *c,
				 const char *data, size_t size)
{
	if (!bb_body_claim_pin(f->o.memory, &c->memory))
		return BB_REASON_BODY_MEMORY;
	if (c->upload_size + size > bb_front_body_max(c))
		return BB_REASON_BODY_TOO_LARGE;
	return append_upload(f, c, data, size) ? BB_REASON_NONE :
						 BB_REASON_BODY_MEMORY;
}

static enum MHD_Result receive_body(struct bb_front *f, struct bb_call *c,
				    const char *data, size_t *size)
{
	enum bb_reason reason;

	c->received_bytes += *size;
	if (c->answer.reason)
		return discard_body(f, c, size);
	reason = take_piece(f, c, data, *size);
	if (reason) {
		bb_call_refuse(c, BB_VERDICT_NOT_RUN, reason, 0);
		empty_body(f, c);
		return discard_body(f, c, size);
	}
	*size = 0;
	return MHD_YES;
}

static enum MHD_Result end_request(struct bb_front *f, struct bb_call *c)
{
	enum bb_reason reason = c->answer.reason;
	XXH64_hash_t h;

	c->whole = true;
	if (ck_pr_load_int(&c->answered_early))
		return MHD_NO;
	if (!reason && !bb_body_claim_pin(f->o.memory, &c->memory))
		reason = BB_REASON_BODY_MEMORY;
	bb_call_complete_body(c);
	if (!reason)
		reason = bb_front_admit_again(f, c);
	if (!reason && ck_pr_load_int(&f->refusing_requests))
		reason = BB_REASON_STOPPING;
	if (reason)
		return refuse(f, c, reason);
	h = XXH3_64bits(c->method, strlen(c->method));
	h = XXH3_64bits_withSeed(c->target, strlen(c->target), h);
	c->fingerprint = XXH3_64bits_withSeed(c->body->data, c->body->len, h);
	c->state = BB_CALL_ADMITTING;
	ck_pr_inc_uint(&f->suspended_calls);
	MHD_suspend_connection(c->connection);
	if (f->o.submit(f->o.data, c))
		return MHD_YES;
	bb_call_refuse(c, BB_VERDICT_NOT_RUN, BB_REASON_QUEUE_FULL,
		       retry_after_unavailable_ms(c));
	c->state = BB_CALL_ANSWERED;
	MHD_resume_connection(c->connection);
	return MHD_YES;
}

/* Without a configuration there is no call, so the answer is built here. */
static enum MHD_Result refuse_without_config(struct MHD_Connection *connection)
{
	static char body[] = "{\"type\":\"urn:baobabward:problem:not-current\","
			     "\"title\":\"not-current\",\"status\":503,"
			     "\"verdict\":\"not-run\"}";
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(body), body, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result rc;

	MHD_add_response_header(r, "Content-Type", "application/problem+json");
	MHD_add_response_header(r, "Retry-After", "1");
	MHD_add_response_header(r, "Baobabward-Verdict",
				bb_verdict_string[BB_VERDICT_NOT_RUN]);
	rc = MHD_queue_response(connection, 503, r);
	MHD_destroy_response(r);
	return rc;
}

static enum MHD_Result on_request(void *data, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **request)
{
	struct bb_front *f = data;
	struct bb_call *c = *request;

	(void)version;
	(void)url;
	if (!c)
		return refuse_without_config(connection);
	if (!c->method)
		return begin_request(f, c, method);
	if (c->state == BB_CALL_ANSWERED) {
		ck_pr_dec_uint(&f->suspended_calls);
		release_body(f, c);
		if (!c->answer.reason)
			claim_response(f, c);
		return bb_answer_queue(c, ck_pr_load_int(&f->draining),
				       f->o.dialect, f->o.history, f->o.memory);
	}
	if (*upload_size)
		return receive_body(f, c, upload, upload_size);
	return end_request(f, c);
}

static const char *termination_text(enum MHD_RequestTerminationCode why)
{
	switch (why) {
	case MHD_REQUEST_TERMINATED_COMPLETED_OK:
		return "completed";
	case MHD_REQUEST_TERMINATED_WITH_ERROR:
		return "error";
	case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
		return "timeout";
	case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
		return "shutdown";
	case MHD_REQUEST_TERMINATED_READ_ERROR:
		return "read-error";
	case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
		return "caller-left";
	}
	return "unknown";
}

static bool is_answered(const struct bb_call *c,
			enum MHD_RequestTerminationCode why)
{
	return c->answer_queued &&
	       (why == MHD_REQUEST_TERMINATED_COMPLETED_OK ||
		ck_pr_load_int(&c->answered_early));
}

/*
 * The caller got no complete answer. One that leaves before its request is
 * complete expects none.
 */
static void log_unanswered(const struct bb_call *c,
			   enum MHD_RequestTerminationCode why)
{
	bool left = !c->whole && (why == MHD_REQUEST_TERMINATED_CLIENT_ABORT ||
				  why == MHD_REQUEST_TERMINATED_READ_ERROR);

	if (!left)
		bb_metrics_add(BB_METRIC_UNANSWERED, 1);
	bb_log_event(BB_LOG_FRONT, left ? G_LOG_LEVEL_DEBUG : G_LOG_LEVEL_INFO,
		     c->id, "unanswered",
		     "why=%s answer=%s whole=%d received=%" G_GUINT64_FORMAT
		     " declared=%" G_GUINT64_FORMAT
		     " reason=%s config=%" G_GUINT64_FORMAT
		     " took_ms=%" G_GINT64_FORMAT,
		     termination_text(why), c->answer_queued ? "cut" : "none",
		     c->whole, c->received_bytes, c->declared_size,
		     bb_reason_string[c->answer.reason],
		     c->snapshot->config->version,
		     (bb_clock_now_us() - c->arrived_us) / BB_US_PER_MS);
}

static void on_completed(void *data, struct MHD_Connection *connection,
			 void **request, enum MHD_RequestTerminationCode why)
{
	struct bb_front *f = data;
	struct bb_call *c = *request;

	(void)connection;
	if (!c)
		return;
	/* Without a method, libmicrohttpd has answered a head that it cannot parse,
	 * or the head is not complete. */
	if (c->method && !is_answered(c, why))
		log_unanswered(c, why);
	bb_body_claim_end(f->o.memory, &c->memory);
	if (caller_fd(c) >= 0)
		bb_caller_check_end(caller_fd(c));
	bb_call_delete(c);
	*request = NULL;
	ck_pr_dec_uint(&f->open_requests);
}

static void on_connection(void *data, struct MHD_Connection *connection,
			  void **context,
			  enum MHD_ConnectionNotificationCode what)
{
	struct bb_front *f = data;
	const union MHD_ConnectionInfo *info;

	if (what == MHD_CONNECTION_NOTIFY_STARTED) {
		info = MHD_get_connection_info(
			connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		*context =
			info ? bb_callers_open(f->callers, info->connect_fd) :
			       NULL;
		return;
	}
	bb_callers_close(f->callers, *context);
	*context = NULL;
	ck_pr_dec_uint(&f->open_connections);
}

static void on_log(void *data, const char *format, va_list ap)
{
	char line[256];

	(void)data;
	g_vsnprintf(line, sizeof(line), format, ap);
	g_strchomp(line);
	bb_log(BB_LOG_FRONT, G_LOG_LEVEL_DEBUG, NULL, "libmicrohttpd: %s",
	       line);
}

struct bb_front *bb_front_new(const struct bb_front_options *o)
{
	struct bb_front *f = g_new0(struct bb_front, 1);

	f->o = *o;
	if (!f->o.dialect)
		f->o.dialect = &bb_dialect_default;
	f->address = g_strdup(o->address);
	f->callers = bb_callers_new();
	return f;
}

static void on_accepted(void *data, int fd, const struct sockaddr *sa,
			socklen_t size)
{
	struct bb_front *f = data;

	ck_pr_inc_uint(&f->open_connections);
	/* On failure, libmicrohttpd has closed the socket. */
	if (MHD_add_connection(f->daemon, fd, sa, size) != MHD_YES)
		ck_pr_dec_uint(&f->open_connections);
}

static bool is_at_connection_limit(void *data)
{
	struct bb_front *f = data;

	return bb_front_connections(f) >= f->o.connection_limit;
}

/*
 * A limit that libmicrohttpd never reaches, since it divides the limit between its
 * threads and checks it after it has queued connections: one over the limit makes
 * the thread wait for a mutex that it holds (0.9.75). The listener keeps the limit.
 */
static unsigned int daemon_connection_limit(const struct bb_front *f)
{
	return (f->o.connection_limit + SOMAXCONN) * MAX(1, f->o.threads);
}

int bb_front_init(struct bb_front *f, struct bb_error *err)
{
	struct bb_listener_options lo = {
		.address = f->address,
		.port = f->o.port,
		.accepted = on_accepted,
		.at_limit = is_at_connection_limit,
		.data = f,
	};

	if (f->daemon)
		return bb_error_set(err, BB_ERROR_STATE,
				    "front end is already initialized");
	f->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
			MHD_USE_ERROR_LOG | MHD_USE_ITC |
			MHD_USE_NO_LISTEN_SOCKET,
		0, NULL, NULL, on_request, f, MHD_OPTION_EXTERNAL_LOGGER,
		on_log, f, MHD_OPTION_URI_LOG_CALLBACK, on_uri, f,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, f,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)BB_CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT,
		daemon_connection_limit(f), MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, f, MHD_OPTION_CONNECTION_TIMEOUT,
		f->o.idle_timeout_s, MHD_OPTION_THREAD_POOL_SIZE, f->o.threads,
		MHD_OPTION_END);
	if (!f->daemon)
		return bb_error_set(err, BB_ERROR_IO,
				    "cannot start the HTTP server for callers "
				    "(libmicrohttpd): %s",
				    g_strerror(errno));
	f->listener = bb_listener_new(&lo, err);
	return f->listener ? 0 : -1;
}

uint16_t bb_front_port(const struct bb_front *f)
{
	return bb_listener_port(f->listener);
}

bool bb_front_drain(struct bb_front *f)
{
	if (ck_pr_fas_int(&f->draining, 1) || !f->listener)
		return false;
	return bb_listener_drain(f->listener);
}

void bb_front_refuse_requests(struct bb_front *f)
{
	ck_pr_store_int(&f->refusing_requests, 1);
}

unsigned int bb_front_connections(struct bb_front *f)
{
	return ck_pr_load_uint(&f->open_connections);
}

void bb_front_check_callers(struct bb_front *f)
{
	bb_callers_check(f->callers, CHECKED_CALLERS_MAX);
}

unsigned int bb_front_requests(struct bb_front *f)
{
	return ck_pr_load_uint(&f->open_requests);
}

unsigned int bb_front_suspended(struct bb_front *f)
{
	return ck_pr_load_uint(&f->suspended_calls);
}

void bb_front_finish(struct bb_front *f)
{
	bb_front_drain(f);
	bb_listener_delete(f->listener);
	f->listener = NULL;
	if (f->daemon)
		MHD_stop_daemon(f->daemon);
	f->daemon = NULL;
}

void bb_front_delete(struct bb_front *f)
{
	if (!f)
		return;
	bb_front_finish(f);
	bb_callers_delete(f->callers);
	g_free(f->address);
	g_free(f);
}
