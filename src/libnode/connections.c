#include "libnode/connections.h"

#include <assert.h>
#include <glib.h>

const char *const bb_connection_fault_string[] = { "silent", "unsolicited" };

static_assert(sizeof(bb_connection_fault_string) /
			      sizeof(*bb_connection_fault_string) ==
		      BB_CONNECTION_FAULT_COUNT,
	      "bb_connection_fault_string needs one string per fault");

/**
 * struct connection - an open connection.
 * @serial: number of the connection
 * @origin: backend server that it leads to
 * @opened_us: time of its opening
 * @answered_us: time of the last answer on it, INT64_MIN for none
 * @local_port: port of its end on this host, 0 until it is established
 * @user: request that uses it, NULL if it is idle
 * @requests_nr: number of requests that used it
 * @established: it was established; its owner reports the close of such a one
 * @closing: the owner was told to close it
 */
struct connection {
	uint64_t serial;
	struct origin *origin;
	int64_t opened_us;
	int64_t answered_us;
	unsigned int local_port;
	const void *user;
	unsigned int requests_nr;
	bool established;
	bool closing;
};

/**
 * struct origin - a backend server that has open connections.
 * @url: key in the table of origins
 * @connections_nr: number of open connections
 * @answered_us: time of the last answer on any of them, INT64_MIN for none
 * @timed_out_request_us: beginning of the last request that timed out on a
 *                        reused connection, INT64_MIN if there was none or a
 *                        connection has answered since
 */
struct origin {
	char *url;
	unsigned int connections_nr;
	int64_t answered_us;
	int64_t timed_out_request_us;
};

/**
 * struct bb_connections - the connections of an executor.
 * @close: closes an idle connection
 * @data: passed to @close
 * @last_serial: number of the newest connection
 * @by_fd: struct connection by socket
 * @origins: struct origin by URL
 */
struct bb_connections {
	bb_connection_close *close;
	void *data;
	uint64_t last_serial;
	GHashTable *by_fd;
	GHashTable *origins;
};

static void free_origin(void *data)
{
	struct origin *o = data;

	g_free(o->url);
	g_free(o);
}

struct bb_connections *bb_connections_new(bb_connection_close *close,
					  void *data)
{
	struct bb_connections *c = g_new0(struct bb_connections, 1);

	c->close = close;
	c->data = data;
	c->by_fd = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	c->origins = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_origin);
	return c;
}

void bb_connections_delete(struct bb_connections *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->by_fd);
	g_hash_table_destroy(c->origins);
	g_free(c);
}

static struct origin *get_origin(struct bb_connections *c, const char *url)
{
	struct origin *o = g_hash_table_lookup(c->origins, url);

	if (o)
		return o;
	o = g_new0(struct origin, 1);
	o->url = g_strdup(url);
	o->answered_us = INT64_MIN;
	o->timed_out_request_us = INT64_MIN;
	g_hash_table_insert(c->origins, o->url, o);
	return o;
}

static struct connection *find(const struct bb_connections *c, int fd)
{
	return g_hash_table_lookup(c->by_fd, GINT_TO_POINTER(fd));
}

/* Return: the connection of @use, NULL if it was closed. */
static struct connection *find_used(const struct bb_connections *c,
				    const struct bb_connection_use *use)
{
	struct connection *n = find(c, use->fd);

	return n && n->serial == use->serial ? n : NULL;
}

static struct bb_connection_use use_of(int fd, const struct connection *n)
{
	return (struct bb_connection_use){ .fd = fd,
					   .serial = n->serial,
					   .opened_us = n->opened_us };
}

struct bb_connection_use bb_connections_opened(struct bb_connections *c, int fd,
					       const char *origin,
					       const void *user, int64_t now_us)
{
	struct connection *n = g_new0(struct connection, 1);

	bb_connections_closed(c, fd);
	n->serial = ++c->last_serial;
	n->origin = get_origin(c, origin);
	n->origin->connections_nr++;
	n->opened_us = now_us;
	n->answered_us = INT64_MIN;
	n->user = user;
	n->requests_nr = 1;
	g_hash_table_insert(c->by_fd, GINT_TO_POINTER(fd), n);
	return use_of(fd, n);
}

void bb_connections_established(struct bb_connections *c,
				const struct bb_connection_use *use,
				unsigned int local_port)
{
	struct connection *n = find_used(c, use);

	if (!n)
		return;
	n->established = true;
	n->local_port = local_port;
}

/* @local_port: 0 for any */
static int64_t least_idle_us(const struct bb_connections *c, const char *origin,
			     unsigned int local_port, int64_t now_us)
{
	const struct origin *o = g_hash_table_lookup(c->origins, origin);
	int64_t least_us = INT64_MAX;
	GHashTableIter i;
	gpointer value;

	if (!o)
		return least_us;
	g_hash_table_iter_init(&i, c->by_fd);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		const struct connection *n = value;

		if (n->origin != o || n->user || n->closing ||
		    n->answered_us == INT64_MIN ||
		    (local_port && n->local_port != local_port))
			continue;
		least_us = MIN(least_us, now_us - n->answered_us);
	}
	return least_us;
}

int64_t bb_connections_idle_us(const struct bb_connections *c,
			       const char *origin, unsigned int local_port,
			       int64_t now_us)
{
	return local_port ? least_idle_us(c, origin, local_port, now_us) :
			    INT64_MAX;
}

int64_t bb_connections_least_idle_us(const struct bb_connections *c,
				     const char *origin, int64_t now_us)
{
	return least_idle_us(c, origin, 0, now_us);
}

void bb_connections_closed(struct bb_connections *c, int fd)
{
	struct connection *n = find(c, fd);
	struct origin *o = n ? n->origin : NULL;

	if (!n)
		return;
	g_hash_table_remove(c->by_fd, GINT_TO_POINTER(fd));
	/* No idle connection of this server is left to close. */
	if (!--o->connections_nr)
		g_hash_table_remove(c->origins, o->url);
}

void bb_connections_use(struct bb_connections *c, int fd, const void *user,
			struct bb_connection_use *use)
{
	struct connection *n = find(c, fd);

	if (!n) {
		*use = (struct bb_connection_use){ 0 };
		return;
	}
	if (n->serial == use->serial)
		return;
	n->user = user;
	n->requests_nr++;
	*use = use_of(fd, n);
}

void bb_connections_release(struct bb_connections *c,
			    const struct bb_connection_use *use,
			    const void *user)
{
	struct connection *n = find_used(c, use);

	if (!n || n->user != user)
		return;
	n->user = NULL;
	if (!n->established)
		bb_connections_closed(c, use->fd);
}

static void close_idle(struct bb_connections *c, int fd, struct connection *n,
		       enum bb_connection_fault fault)
{
	const struct bb_idle_connection idle = {
		.fd = fd,
		.fault = fault,
		.origin = n->origin->url,
		.opened_us = n->opened_us,
		.requests_nr = n->requests_nr,
	};

	n->closing = true;
	c->close(c->data, &idle);
}

/*
 * Closes the idle connections that were opened and last answered before
 * @began_us, the beginning of a request that timed out.
 */
static unsigned int close_idle_before(struct bb_connections *c,
				      const struct origin *o, int64_t began_us)
{
	GHashTableIter i;
	gpointer fd, value;
	unsigned int nr = 0;

	g_hash_table_iter_init(&i, c->by_fd);
	while (g_hash_table_iter_next(&i, &fd, &value)) {
		struct connection *n = value;

		if (n->origin != o || n->user || n->closing ||
		    n->opened_us >= began_us || n->answered_us >= began_us)
			continue;
		close_idle(c, GPOINTER_TO_INT(fd), n, BB_CONNECTION_SILENT);
		nr++;
	}
	return nr;
}

unsigned int bb_connections_close_unsolicited(struct bb_connections *c,
					      const char *origin,
					      bool (*has_bytes)(int fd))
{
	const struct origin *o = g_hash_table_lookup(c->origins, origin);
	GHashTableIter i;
	gpointer fd, value;
	unsigned int nr = 0;

	if (!o)
		return 0;
	g_hash_table_iter_init(&i, c->by_fd);
	while (g_hash_table_iter_next(&i, &fd, &value)) {
		struct connection *n = value;

		if (n->origin != o || n->user || n->closing ||
		    !has_bytes(GPOINTER_TO_INT(fd)))
			continue;
		close_idle(c, GPOINTER_TO_INT(fd), n,
			   BB_CONNECTION_UNSOLICITED);
		nr++;
	}
	return nr;
}

unsigned int bb_connections_answered(struct bb_connections *c,
				     const struct bb_connection_use *use,
				     const char *origin, int64_t now_us)
{
	struct connection *n = find_used(c, use);
	struct origin *o = g_hash_table_lookup(c->origins, origin);
	unsigned int nr = 0;

	if (!o)
		return 0;
	if (n)
		n->answered_us = now_us;
	o->answered_us = now_us;
	if (o->timed_out_request_us != INT64_MIN)
		nr = close_idle_before(c, o, o->timed_out_request_us);
	o->timed_out_request_us = INT64_MIN;
	return nr;
}

unsigned int bb_connections_request_timed_out(struct bb_connections *c,
					      const char *origin,
					      int64_t began_us)
{
	struct origin *o = g_hash_table_lookup(c->origins, origin);

	if (!o)
		return 0;
	if (o->answered_us >= began_us)
		return close_idle_before(c, o, began_us);
	o->timed_out_request_us = MAX(o->timed_out_request_us, began_us);
	return 0;
}

bool bb_connections_avoid_reuse(const struct bb_connections *c,
				const char *origin)
{
	const struct origin *o = g_hash_table_lookup(c->origins, origin);

	return o && o->timed_out_request_us != INT64_MIN;
}
