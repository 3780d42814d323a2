#include "libnode/outbox.h"

#include <stdlib.h>

#include "baobabward/clock.h"
#include "baobabward/config.h"
#include "libnode/loop.h"

/* Time for which a message waits for its connection. */
#define WAIT_US (500 * BB_US_PER_MS)
/*
 * A connection on a good network is up within a round trip or two. The delay
 * doubles, since each attempt costs as much as a send, and a node whose zone is
 * cut off may have messages for a hundred hosts waiting.
 */
#define RETRY_MIN_US (5 * BB_US_PER_MS)
#define RETRY_MAX_US (80 * BB_US_PER_MS)
/* Most messages that wait. */
#define WAITING_MAX 1024u

struct waiting {
	uint32_t host;
	int64_t until_us;
	int64_t delay_us;
	int64_t next_us;
	char *data;
	struct bb_decoded *decoded;
};

struct bb_outbox {
	struct bb_outbox_options o;
	uint32_t self;
	GQueue own;
	GQueue waiting;
	GSource *own_source;
	GSource *retry;
};

static void free_waiting(void *data)
{
	struct waiting *w = data;

	bb_decoded_delete(w->decoded);
	free(w->data);
	g_free(w);
}

/* A copy, because messages are valid only during the send. */
static struct waiting *copy_message(uint32_t host, const struct bb_message *m)
{
	struct waiting *w = g_new0(struct waiting, 1);
	int64_t now_us = bb_clock_now_us();
	struct bb_error err;
	size_t size;

	w->host = host;
	w->delay_us = RETRY_MIN_US;
	w->next_us = now_us + RETRY_MIN_US;
	w->until_us = now_us + WAIT_US;
	w->data = bb_wire_encode(m, &size, &err);
	if (w->data)
		w->decoded = bb_wire_decode(w->data, size, &err);
	if (w->decoded)
		return w;
	free_waiting(w);
	return NULL;
}

static gboolean deliver_own(gpointer data)
{
	struct bb_outbox *p = data;
	guint nr = g_queue_get_length(&p->own);

	bb_loop_remove(&p->own_source);
	while (nr--) {
		struct waiting *w = g_queue_pop_head(&p->own);

		p->o.receive(p->o.data, bb_decoded_message(w->decoded));
		free_waiting(w);
	}
	return G_SOURCE_REMOVE;
}

/* Whether the message is done with: sent, or its time is over. */
static bool try_again(struct bb_outbox *p, struct waiting *w, int64_t now_us)
{
	if (now_us < w->next_us)
		return false;
	if (!bb_transport_send(bb_endpoint_transport(p->o.endpoint), w->host,
			       bb_decoded_message(w->decoded), NULL))
		return true;
	w->delay_us = MIN(2 * w->delay_us, RETRY_MAX_US);
	w->next_us = now_us + w->delay_us;
	return now_us >= w->until_us;
}

static gboolean retry(gpointer data)
{
	struct bb_outbox *p = data;
	int64_t now_us = bb_clock_now_us();
	guint nr = g_queue_get_length(&p->waiting);

	while (nr--) {
		struct waiting *w = g_queue_pop_head(&p->waiting);

		if (try_again(p, w, now_us))
			free_waiting(w);
		else
			g_queue_push_tail(&p->waiting, w);
	}
	if (!g_queue_is_empty(&p->waiting))
		return G_SOURCE_CONTINUE;
	bb_loop_remove(&p->retry);
	return G_SOURCE_REMOVE;
}

struct bb_outbox *bb_outbox_new(const struct bb_outbox_options *o)
{
	struct bb_outbox *p = g_new0(struct bb_outbox, 1);

	p->o = *o;
	p->self = BB_NO_ROW;
	g_queue_init(&p->own);
	g_queue_init(&p->waiting);
	return p;
}

void bb_outbox_set_self(struct bb_outbox *p, uint32_t self)
{
	p->self = self;
	g_queue_clear_full(&p->own, free_waiting);
	g_queue_clear_full(&p->waiting, free_waiting);
}

static void send_own(struct bb_outbox *p, const struct bb_message *m)
{
	struct waiting *w = copy_message(p->self, m);

	if (!w)
		return;
	g_queue_push_tail(&p->own, w);
	if (!p->own_source)
		p->own_source =
			bb_loop_add_timeout(p->o.context, 0, deliver_own, p);
}

void bb_outbox_send(void *post, uint32_t host, const struct bb_message *m)
{
	struct bb_outbox *p = post;
	struct waiting *w;
	struct bb_error err;

	if (host == p->self) {
		send_own(p, m);
		return;
	}
	if (!bb_transport_send(bb_endpoint_transport(p->o.endpoint), host, m,
			       &err) ||
	    err.code != BB_ERROR_FULL)
		return;
	if (g_queue_get_length(&p->waiting) >= WAITING_MAX)
		return;
	w = copy_message(host, m);
	if (!w)
		return;
	g_queue_push_tail(&p->waiting, w);
	if (!p->retry)
		p->retry = bb_loop_add_timeout(p->o.context, RETRY_MIN_US,
					       retry, p);
}

void bb_outbox_delete(struct bb_outbox *p)
{
	if (!p)
		return;
	bb_loop_remove(&p->own_source);
	bb_loop_remove(&p->retry);
	g_queue_clear_full(&p->own, free_waiting);
	g_queue_clear_full(&p->waiting, free_waiting);
	g_free(p);
}
