#include "libnode/admin.h"

#include <glib.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/metrics.h"
#include "libnode/address.h"

#define ADMIN_CONNECTIONS_MAX 32u
#define ADMIN_IDLE_TIMEOUT_S 10u

struct bb_admin {
	struct bb_admin_options o;
	struct MHD_Daemon *daemon;
};

static enum MHD_Result respond(struct MHD_Connection *c, unsigned int status,
			       const char *type, const char *text)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	MHD_add_response_header(r, "Content-Type", type);
	rc = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	return rc;
}

static enum MHD_Result respond_metrics(struct MHD_Connection *c)
{
	char *text = bb_metrics_text();
	enum MHD_Result rc = respond(c, 200, "text/plain; version=0.0.4", text);

	g_free(text);
	return rc;
}

static enum MHD_Result respond_ready(struct bb_admin *a,
				     struct MHD_Connection *c)
{
	const char *why = "ready";
	bool ready = a->o.ready(a->o.data, &why);

	return respond(c, ready ? 200 : 503, "text/plain", why);
}

/* First argument of the query; no document needs more than one. */
struct query {
	const char *key;
	const char *value;
};

static enum MHD_Result store_first_argument(void *data, enum MHD_ValueKind kind,
					    const char *key, const char *value)
{
	struct query *q = data;

	(void)kind;
	q->key = key;
	q->value = value;
	return MHD_NO;
}

static enum MHD_Result on_request(void *data, struct MHD_Connection *c,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **request)
{
	static int begun;
	struct bb_admin *a = data;
	struct query q = { 0 };
	enum MHD_Result rc;
	char *text;

	(void)version;
	(void)upload;
	if (!*request) {
		*request = &begun;
		return MHD_YES;
	}
	/* libmicrohttpd takes no response while a body is being received. */
	if (*upload_size) {
		*upload_size = 0;
		return MHD_YES;
	}
	if (strcmp(method, "GET") != 0)
		return respond(c, 405, "text/plain", "only GET is allowed");
	if (!strcmp(url, "/metrics"))
		return respond_metrics(c);
	if (!strcmp(url, "/healthz"))
		return respond(c, 200, "text/plain", "alive");
	if (!strcmp(url, "/readyz") || !strcmp(url, a->o.ready_path))
		return respond_ready(a, c);
	MHD_get_connection_values(c, MHD_GET_ARGUMENT_KIND,
				  store_first_argument, &q);
	text = a->o.document(a->o.data, url, q.key, q.value);
	if (!text)
		return respond(c, 404, "text/plain", "not found");
	rc = respond(c, 200, "application/json", text);
	free(text);
	return rc;
}

struct bb_admin *bb_admin_new(const struct bb_admin_options *o,
			      struct bb_error *err)
{
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD;
	struct bb_admin *a = g_new0(struct bb_admin, 1);
	struct sockaddr_storage ss;

	a->o = *o;
	if (bb_address_parse(o->address, o->port, &ss, err)) {
		g_free(a);
		return NULL;
	}
	if (ss.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	a->daemon = MHD_start_daemon(
		flags, o->port, NULL, NULL, on_request, a, MHD_OPTION_SOCK_ADDR,
		&ss, MHD_OPTION_CONNECTION_LIMIT, ADMIN_CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, ADMIN_IDLE_TIMEOUT_S,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (!a->daemon) {
		bb_error_set(err, BB_ERROR_IO,
			     "cannot start the operator listener on %s port %u",
			     o->address, o->port);
		g_free(a);
		return NULL;
	}
	return a;
}

void bb_admin_delete(struct bb_admin *a)
{
	if (!a)
		return;
	MHD_stop_daemon(a->daemon);
	g_free(a);
}
