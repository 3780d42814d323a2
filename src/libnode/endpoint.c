#include "libnode/endpoint.h"

#include <string.h>

#include "baobabward/config.h"
#include "baobabward/metrics.h"
#include "baobabward/rounds.h"

/* Messages handled in one dispatch, so that other sources do not starve. */
#define DISPATCH_MAX_MESSAGES 64

/* GLib allocates the source, so it only refers to the endpoint. */
struct endpoint_source {
	GSource source;
	struct bb_endpoint *endpoint;
};

/**
 * struct bb_endpoint - a transport and its source in the main loop.
 * @transport: owned
 * @pending: message received but not yet passed to @receive, or NULL
 * @source: wakes the loop when the transport's descriptor is readable
 * @receive: called for each message
 * @data: passed to @receive
 */
struct bb_endpoint {
	struct bb_transport *transport;
	struct bb_received_message *pending;
	GSource *source;
	void (*receive)(void *data, struct bb_received_message *r);
	void *data;
};

/*
 * The transport's descriptor is edge triggered, so the loop must ask the
 * transport itself for a message before each poll.
 */
static gboolean receive_pending(GSource *source)
{
	struct bb_endpoint *p = ((struct endpoint_source *)source)->endpoint;

	if (!p->pending)
		p->pending = bb_transport_receive(p->transport);
	return p->pending != NULL;
}

static gboolean prepare(GSource *source, gint *timeout_ms)
{
	*timeout_ms = -1;
	return receive_pending(source);
}

static gboolean dispatch(GSource *source, GSourceFunc callback, gpointer data)
{
	struct bb_endpoint *p = ((struct endpoint_source *)source)->endpoint;

	(void)callback;
	(void)data;
	bb_rounds_note("endpoint.c:dispatch");
	for (int i = 0; i < DISPATCH_MAX_MESSAGES && receive_pending(source);
	     i++) {
		struct bb_received_message *r = p->pending;

		p->pending = NULL;
		p->receive(p->data, r);
	}
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs endpoint_funcs = { prepare,	 receive_pending,
				       dispatch, NULL,
				       NULL,	 NULL };

struct bb_endpoint *
bb_endpoint_new(const struct bb_transport_options *o, GMainContext *context,
		void (*receive)(void *data, struct bb_received_message *r),
		void *data, struct bb_error *err)
{
	struct bb_transport *t = bb_transport_new(o, err);
	struct bb_endpoint *p;

	if (!t)
		return NULL;
	p = g_new0(struct bb_endpoint, 1);
	p->transport = t;
	p->receive = receive;
	p->data = data;
	p->source =
		g_source_new(&endpoint_funcs, sizeof(struct endpoint_source));
	((struct endpoint_source *)p->source)->endpoint = p;
	g_source_add_unix_fd(p->source, bb_transport_fd(t), G_IO_IN);
	g_source_attach(p->source, context);
	return p;
}

struct bb_transport *bb_endpoint_transport(struct bb_endpoint *p)
{
	return p->transport;
}

/* Return: host index that the sender of the waiting message has in @config. */
static uint32_t find_pending_sender(const struct bb_endpoint *p,
				    const struct bb_config *config)
{
	const char *name;

	if (!p->pending)
		return BB_NO_ROW;
	name = bb_received_message_sender_name(p->transport, p->pending);
	return name ? bb_config_find_host(config, name, strlen(name)) :
		      BB_NO_ROW;
}

/*
 * The waiting message has the host index of the former list of peers. Without
 * its sender in the new one it is dropped, as the transport does, unless it is
 * the answer of a removed host.
 */
static void rebind_pending(struct bb_endpoint *p, uint32_t host,
			   bool keep_answers)
{
	/* Without names and keys, the senders of requests are not known. */
	if (!p->pending ||
	    bb_received_message_sender(p->pending)->host == BB_NO_ROW)
		return;
	if (host != BB_NO_ROW ||
	    (keep_answers &&
	     !bb_received_message_sender(p->pending)->is_request)) {
		bb_received_message_rebind(p->pending, host);
		return;
	}
	bb_metrics_add(BB_METRIC_PEER_MESSAGES_BAD, 1);
	bb_received_message_delete(p->pending);
	p->pending = NULL;
}

int bb_endpoint_configure(struct bb_endpoint *p, const struct bb_config *config,
			  bool control, struct bb_error *err)
{
	struct bb_transport_peer *peers =
		g_new0(struct bb_transport_peer, config->hosts_nr);
	uint32_t sender;
	int rc;

	for (size_t i = 0; i < config->hosts_nr; i++) {
		const struct bb_host *h = &config->hosts[i];

		peers[i].name = h->name;
		peers[i].address = h->address;
		peers[i].port = control ? h->control_port : h->data_port;
		peers[i].curve_key = h->curve_key;
	}
	sender = find_pending_sender(p, config);
	rc = bb_transport_update(p->transport, peers, config->hosts_nr, err);
	if (!rc)
		rebind_pending(p, sender, !control);
	g_free(peers);
	return rc;
}

void bb_endpoint_delete(struct bb_endpoint *p)
{
	if (!p)
		return;
	g_source_destroy(p->source);
	g_source_unref(p->source);
	bb_received_message_delete(p->pending);
	bb_transport_delete(p->transport);
	g_free(p);
}
