/*
 * Admission of callers' requests: finds route and client account, checks the
 * key and the size limits, and selects the headers to forward. The key of a
 * caller never reaches a backend server or a log.
 */
#include "libnode/front_private.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"
#include "baobabward/trace.h"
#include "libnode/headers.h"

#define TARGET_MAX_BYTES 8192u
#define IDEMPOTENCY_KEY_MAX_BYTES 255u
/* Path at which a caller asks for the outcome of an idempotency key. */
#define OUTCOME_PATH "/.well-known/baobabward/outcome"

/**
 * struct header_scan - headers of one request that the node itself uses.
 * @dialect: names of headers
 * @call: the request
 * @key: value of the header with the key; other text fields likewise, NULL
 *       for a header that is absent
 * @traceparent: empty if the header occurs more than once
 * @content_length: the header is present
 * @transfer_encoding: the header is present
 * @duplicate_header: a header that may occur only once occurs more often
 * @invalid_name: a header name is not a token
 * @continues_trace: @traceparent is valid and passed on
 * @headers_nr: number of all headers of the request
 */
struct header_scan {
	const struct bb_dialect *dialect;
	struct bb_call *call;
	const char *key;
	const char *account;
	const char *idempotency_key;
	const char *connection;
	const char *host;
	const char *deadline;
	const char *request_id;
	const char *traceparent;
	bool content_length;
	bool transfer_encoding;
	bool duplicate_header;
	bool invalid_name;
	bool continues_trace;
	size_t headers_nr;
};

static enum MHD_Result scan_header(void *data, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct header_scan *s = data;
	struct bb_bytes n = { name, strlen(name) };
	const char **single = NULL;

	(void)kind;
	s->headers_nr++;
	if (!bb_header_name_is_valid(&n))
		s->invalid_name = true;
	if (!value)
		value = "";
	if (bb_header_is(&n, s->dialect->api_key))
		single = &s->key;
	else if (bb_header_named(&n, s->dialect->account))
		single = &s->account;
	else if (bb_header_named(&n, s->dialect->deadline))
		single = &s->deadline;
	else if (bb_header_named(&n, s->dialect->request_id))
		single = &s->request_id;
	else if (bb_header_is(&n, "host"))
		single = &s->host;
	else if (bb_header_is(&n, "idempotency-key"))
		single = &s->idempotency_key;
	else if (bb_header_is(&n, "connection"))
		s->connection = value;
	else if (bb_header_is(&n, "content-length"))
		s->content_length = true;
	else if (bb_header_is(&n, "transfer-encoding"))
		s->transfer_encoding = true;
	else if (bb_header_is(&n, "traceparent"))
		/* W3C Trace Context: more than one counts as none. */
		s->traceparent = s->traceparent ? "" : value;
	if (!single)
		return MHD_YES;
	if (*single)
		s->duplicate_header = true;
	*single = value;
	return MHD_YES;
}

static void continue_trace(struct header_scan *s)
{
	struct bb_trace_context c;

	s->continues_trace = s->traceparent &&
			     bb_traceparent_parse(s->traceparent,
						  strlen(s->traceparent), &c);
	if (s->continues_trace)
		s->call->traceparent = g_strdup(s->traceparent);
}

static enum MHD_Result copy_header(void *data, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct header_scan *s = data;
	struct bb_bytes n = { name, strlen(name) };

	(void)kind;
	if (bb_header_is_withheld(&n, s->dialect))
		return MHD_YES;
	/* It belongs to a traceparent that is absent or not valid. */
	if (!s->continues_trace && bb_header_is(&n, "tracestate"))
		return MHD_YES;
	if (s->connection && bb_header_in_connection_list(s->connection, &n))
		return MHD_YES;
	bb_call_add_header(s->call, name, n.size, value ? value : "",
			   value ? strlen(value) : 0);
	return MHD_YES;
}

static const char *bearer_key(const char *authorization)
{
	if (!authorization || g_ascii_strncasecmp(authorization, "Bearer ", 7))
		return NULL;
	authorization += 7;
	while (*authorization == ' ')
		authorization++;
	return *authorization ? authorization : NULL;
}

static const char *caller_key(const struct bb_dialect *d, const char *value)
{
	if (!d->bearer_key)
		return value && *value ? value : NULL;
	return bearer_key(value);
}

static bool contains(const char *data, size_t size, const char *key)
{
	return size && memmem(data, size, key, strlen(key));
}

/* Whether the target contains the key, literally or percent-encoded. */
static bool target_has_key(const char *target, const char *key)
{
	char *plain;
	char *to;
	bool found;

	if (strstr(target, key))
		return true;
	if (!strchr(target, '%'))
		return false;
	to = plain = g_malloc(strlen(target) + 1);
	for (const char *p = target; *p; p++) {
		bool encoded = *p == '%' && g_ascii_isxdigit(p[1]) &&
			       g_ascii_isxdigit(p[2]);

		*to++ = encoded ? (char)(g_ascii_xdigit_value(p[1]) << 4 |
					 g_ascii_xdigit_value(p[2])) :
				  *p;
		p += encoded ? 2 : 0;
	}
	found = contains(plain, (size_t)(to - plain), key);
	g_free(plain);
	return found;
}

/*
 * Whether the key also occurs in the target or in a header that is passed on,
 * so that a backend server would see it. The body has not been read yet;
 * body_has_key() checks it later.
 */
static bool key_is_forwarded(const struct bb_call *c, const char *key)
{
	if (target_has_key(c->target, key))
		return true;
	for (guint i = 0; i < c->headers->len; i++) {
		struct bb_header *h =
			&g_array_index(c->headers, struct bb_header, i);

		if (contains(h->value.data, h->value.size, key) ||
		    contains(h->name.data, h->name.size, key))
			return true;
	}
	return false;
}

static enum bb_reason find_account(struct bb_call *c,
				   const struct header_scan *s)
{
	const struct bb_config *config = c->snapshot->config;
	const char *key = caller_key(s->dialect, s->key);
	enum bb_access access = bb_call_route(c)->access;

	if (key)
		c->account = bb_config_find_key(config, key, strlen(key));
	else if (s->account && access == BB_ACCESS_INTERNAL)
		c->account = bb_config_find_account(config, s->account,
						    strlen(s->account));
	if (c->account == BB_NO_ROW && access != BB_ACCESS_PUBLIC)
		return BB_REASON_UNAUTHORIZED;
	if (key && key_is_forwarded(c, key))
		return BB_REASON_BAD_REQUEST;
	/*
	 * Checked even if the traceparent is not passed on, so that the caller
	 * learns of its mistake.
	 */
	if (key && s->traceparent && strstr(s->traceparent, key))
		return BB_REASON_BAD_REQUEST;
	return BB_REASON_NONE;
}

/* Host header without the port; the caller frees it with g_free(). */
static char *host_name(const char *host)
{
	const char *end;

	if (!host)
		return NULL;
	end = *host == '[' ? strchr(host, ']') : strchr(host, ':');
	if (end && *end == ']')
		end++;
	return end ? g_strndup(host, (gsize)(end - host)) : g_strdup(host);
}

static enum bb_reason find_route(struct bb_call *c, const struct header_scan *s)
{
	bool path_known = false, refused = false;
	unsigned int method = bb_method_parse(c->method);
	char *path, *host;

	c->route = BB_NO_ROW;

	if (c->lookup_only) {
		/* The query names the route that the key was used on. */
		const char *route = MHD_lookup_connection_value(
			c->connection, MHD_GET_ARGUMENT_KIND, "route");

		if (route)
			c->route = bb_config_find_route(c->snapshot->config,
							route, strlen(route));
	} else {
		path = g_strndup(c->target, strcspn(c->target, "?#"));
		host = host_name(s->host);
		c->route = bb_config_match_route(c->snapshot->config, host,
						 path, method, &path_known);
		refused = c->route == BB_NO_ROW &&
			  bb_config_is_refused_path(c->snapshot->config, host,
						    path);
		g_free(host);
		g_free(path);
	}
	if (c->route != BB_NO_ROW)
		return BB_REASON_NONE;
	/* There is a route, which this node cannot use. */
	if (refused)
		return BB_REASON_NOT_CURRENT;
	return path_known ? BB_REASON_METHOD_NOT_ALLOWED : BB_REASON_NO_ROUTE;
}

static enum bb_reason set_idempotency_key(struct bb_call *c,
					  const struct header_scan *s)
{
	crypto_generichash_state state;
	const char *account = bb_call_account_name(c);
	const struct bb_route *r = bb_call_route(c);
	size_t n;

	c->has_idempotency_key = false;
	/* With a window of 0 no records are held, and the header is the backend
	 * server's. */
	if (!s->idempotency_key || !c->snapshot->config->idempotency_window_ms)
		return c->lookup_only ? BB_REASON_BAD_REQUEST : BB_REASON_NONE;
	n = strlen(s->idempotency_key);
	if (!n || n > IDEMPOTENCY_KEY_MAX_BYTES)
		return BB_REASON_BAD_REQUEST;
	/* Keys of idempotent routes are not recorded. */
	if (r->idempotent)
		return c->lookup_only ? BB_REASON_BAD_REQUEST : BB_REASON_NONE;
	crypto_generichash_init(&state, NULL, 0,
				sizeof(c->idempotency_key_hash));
	/*
	 * The terminating NUL is hashed as a separator, so that different
	 * accounts and routes cannot give the same input.
	 */
	crypto_generichash_update(&state, (const uint8_t *)account,
				  strlen(account) + 1);
	crypto_generichash_update(&state, (const uint8_t *)r->name,
				  strlen(r->name) + 1);
	crypto_generichash_update(&state, (const uint8_t *)s->idempotency_key,
				  n);
	crypto_generichash_final(&state, c->idempotency_key_hash,
				 sizeof(c->idempotency_key_hash));
	c->has_idempotency_key = true;
	return BB_REASON_NONE;
}

static enum bb_reason check_framing(const struct header_scan *s)
{
	/* Content-Length with Transfer-Encoding allows request smuggling. */
	if (s->duplicate_header || s->invalid_name ||
	    (s->content_length && s->transfer_encoding))
		return BB_REASON_BAD_REQUEST;
	if (s->headers_nr > BB_HEADERS_MAX)
		return BB_REASON_HEADERS_TOO_LARGE;
	return BB_REASON_NONE;
}

static enum bb_reason check_length(const struct bb_call *c)
{
	const char *s = MHD_lookup_connection_value(
		c->connection, MHD_HEADER_KIND, "Content-Length");

	if (s && g_ascii_strtoull(s, NULL, 10) > bb_front_body_max(c))
		return BB_REASON_BODY_TOO_LARGE;
	return BB_REASON_NONE;
}

/*
 * Service of the route. Of a split route, one is chosen at random by weight;
 * the random number is a hash of the call's sequence number.
 */
static uint32_t choose_service(const struct bb_front *f,
			       const struct bb_call *c)
{
	const struct bb_route *r = bb_call_route(c);
	double sum = 0, at;
	uint64_t h;

	if (!r->split_nr)
		return r->service;
	for (size_t i = 0; i < r->split_nr; i++)
		sum += r->split[i].weight;
	h = XXH3_64bits_withSeed(&c->sequence, sizeof(c->sequence),
				 f->o.incarnation);
	at = (double)(h >> 11) / (double)(UINT64_C(1) << 53) * sum;
	for (size_t i = 0; i < r->split_nr; i++) {
		at -= r->split[i].weight;
		if (at < 0)
			return r->split[i].service;
	}
	return r->split[r->split_nr - 1].service;
}

/*
 * Whether the request must be refused because the configuration may be out of
 * date: a version that was not read yet may have revoked keys of open routes.
 */
static bool lacks_current_config(const struct bb_front *f,
				 const struct bb_call *c)
{
	return bb_call_route(c)->access != BB_ACCESS_INTERNAL &&
	       !f->o.config_current(f->o.data);
}

/* Sets what depends on the configuration: route, account, idempotency key. */
static enum bb_reason apply_config(struct bb_front *f, struct bb_call *c,
				   const struct header_scan *s)
{
	enum bb_reason reason = find_route(c, s);

	/* It may be a row of an earlier configuration. */
	c->account = BB_NO_ROW;
	if (reason)
		return reason;
	c->service = choose_service(f, c);
	reason = find_account(c, s);
	if (reason)
		return reason;
	if (lacks_current_config(f, c))
		return BB_REASON_NOT_CURRENT;
	return set_idempotency_key(c, s);
}

/*
 * Routes are matched on the path as sent, because the backend server gets it
 * unchanged. A path that the server could normalize to another one is refused.
 */
static bool path_is_unambiguous(const char *path)
{
	/* NULL for an invalid percent-encoding and for %00. */
	char *decoded = g_uri_unescape_string(path, NULL);
	bool plain;

	plain = decoded && *path == '/' && !strstr(decoded, "//") &&
		!strstr(decoded, "/../") && !strstr(decoded, "/./") &&
		!strchr(decoded, '\\') && !g_str_has_suffix(decoded, "/..") &&
		!g_str_has_suffix(decoded, "/.");
	g_free(decoded);
	return plain;
}

/* The caller may ask for a shorter timeout than the route's. */
static void set_deadline(struct bb_call *c, const struct header_scan *s)
{
	guint64 wait_ms = bb_call_route(c)->timeout_ms;
	guint64 caller_ms;

	if (s->deadline &&
	    g_ascii_string_to_unsigned(s->deadline, 10, 0, G_MAXUINT32,
				       &caller_ms, NULL))
		wait_ms = MIN(wait_ms, caller_ms);
	c->deadline_us = c->arrived_us + (int64_t)wait_ms * BB_US_PER_MS;
}

static void add_text(struct bb_call *c, const char *name, const char *value)
{
	bb_call_add_header(c, name, strlen(name), value, strlen(value));
}

/*
 * Headers that only the node may set; values sent by the caller were removed
 * in copy_header().
 */
static void add_node_headers(const struct bb_front *f, struct bb_call *c)
{
	const struct bb_dialect *d = f->o.dialect;

	if (d->caller_service && f->o.local_service)
		add_text(c, d->caller_service, f->o.local_service);
	if (d->send_account && c->account != BB_NO_ROW)
		add_text(c, d->account, bb_call_account(c)->name);
}

/*
 * Uses the caller's request id. It appears in logs, so one that contains the
 * key is ignored.
 */
static void adopt_request_id(struct bb_call *c, const struct header_scan *s)
{
	const char *key = caller_key(s->dialect, s->key);

	if (s->request_id && *s->request_id &&
	    !(key && strstr(s->request_id, key)))
		g_strlcpy(c->id, s->request_id, sizeof(c->id));
}

/* Checks the headers of each request, also on a connection that is reused. */
static enum bb_reason check_head(struct bb_front *f, struct bb_call *c)
{
	struct header_scan s = { .call = c, .dialect = f->o.dialect };
	enum bb_reason reason;

	MHD_get_connection_values(c->connection, MHD_HEADER_KIND, scan_header,
				  &s);
	continue_trace(&s);
	adopt_request_id(c, &s);
	reason = check_framing(&s);
	if (reason)
		return reason;
	MHD_get_connection_values(c->connection, MHD_HEADER_KIND, copy_header,
				  &s);
	reason = apply_config(f, c, &s);
	if (reason)
		return reason;
	set_deadline(c, &s);
	add_node_headers(f, c);
	return check_length(c);
}

enum bb_reason bb_front_admit(struct bb_front *f, struct bb_call *c)
{
	enum bb_reason reason = BB_REASON_BAD_REQUEST;
	char *path;

	if (strlen(c->target) > TARGET_MAX_BYTES)
		return BB_REASON_HEADERS_TOO_LARGE;
	path = g_strndup(c->target, strcspn(c->target, "?#"));
	c->lookup_only = !strcmp(path, OUTCOME_PATH);
	if (path_is_unambiguous(path))
		reason = check_head(f, c);
	g_free(path);
	return reason;
}

static enum bb_reason check_config_again(struct bb_front *f, struct bb_call *c)
{
	struct header_scan s = { .call = c, .dialect = f->o.dialect };
	struct bb_snapshot *now = bb_snapshots_get(f->o.snapshots);
	enum bb_reason reason;
	char *account;

	if (now == c->snapshot) {
		bb_snapshot_put(now);
		return lacks_current_config(f, c) ? BB_REASON_NOT_CURRENT :
						    BB_REASON_NONE;
	}
	account = g_strdup(bb_call_account_name(c));
	bb_snapshot_put(c->snapshot);
	c->snapshot = now;
	MHD_get_connection_values(c->connection, MHD_HEADER_KIND, scan_header,
				  &s);
	reason = apply_config(f, c, &s);
	/*
	 * The headers to forward may already name the account that the key had
	 * before.
	 */
	if (!reason && strcmp(account, bb_call_account_name(c)) != 0)
		reason = BB_REASON_NOT_CURRENT;
	g_free(account);
	if (!reason && c->body->len > bb_front_body_max(c))
		return BB_REASON_BODY_TOO_LARGE;
	return reason;
}

static bool body_has_key(const struct bb_dialect *d, struct bb_call *c)
{
	const char *key = caller_key(
		d, MHD_lookup_connection_value(c->connection, MHD_HEADER_KIND,
					       d->api_key));

	return key && contains((const char *)c->body->data, c->body->len, key);
}

enum bb_reason bb_front_admit_again(struct bb_front *f, struct bb_call *c)
{
	enum bb_reason reason = check_config_again(f, c);

	if (!reason && body_has_key(f->o.dialect, c))
		return BB_REASON_BAD_REQUEST;
	return reason;
}
