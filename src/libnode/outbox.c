#include "libnode/outbox.h"

#include <stdlib.h>

#include "baobabward/clock.h"
#include "baobabward/config.h"
#include "libnode/loop.h"

/* Time for which a message waits for its connection before it is dropped. */
#define CONNECTION_WAIT_US (500 * BB_US_PER_MS)
/*
 * A connection on a good network is up within one or two round trips. The delay
 * doubles because each attempt costs as much as a send, and a node whose
 * availability zone is cut off may have messages for a hundred hosts waiting.
 */
#define RETRY_MIN_US (5 * BB_US_PER_MS)
#define RETRY_MAX_US (80 * BB_US_PER_MS)
/* Limit of messages that wait for a connection; further ones are dropped. */
#define WAITING_MESSAGES_MAX 1024u

/* A message that waits to be delivered or sent. */
struct waiting_message {
	uint32_t host;
	/* Monotonic time after which the message is dropped. */
	int64_t deadline_us;
	/* Delay of the next attempt in microseconds. */
	int64_t retry_delay_us;
	/* Monotonic time of the next attempt. */
	int64_t retry_us;
	/* Encoded message, which @decoded points into. */
	char *data;
	struct bb_decoded_message *decoded;
};

struct bb_outbox {
	struct bb_outbox_options o;
	/* Handle of this host, BB_NO_ROW for none. */
	uint32_t self;
	/* Messages to this node itself. */
	GQueue own;
	/* Messages that wait for a connection. */
	GQueue waiting;
	/* Timers of the two queues, NULL when not set. */
	GSource *own_timer;
	GSource *retry_timer;
};

static void free_waiting(void *data)
{
	struct waiting_message *w = data;

	bb_decoded_message_delete(w->decoded);
	free(w->data);
	g_free(w);
}

/* Copies a message, because it is valid only during the send. */
static struct waiting_message *copy_message(uint32_t host,
					    const struct bb_message *m)
{
	struct waiting_message *w = g_new0(struct waiting_message, 1);
	int64_t now_us = bb_clock_now_us();
	struct bb_error err;
	size_t size;

	w->host = host;
	w->retry_delay_us = RETRY_MIN_US;
	w->retry_us = now_us + RETRY_MIN_US;
	w->deadline_us = now_us + CONNECTION_WAIT_US;
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
	struct bb_outbox *ob = data;
	guint nr = g_queue_get_length(&ob->own);

	bb_loop_remove(&ob->own_timer);
	while (nr--) {
		struct waiting_message *w = g_queue_pop_head(&ob->own);

		ob->o.receive(ob->o.data, bb_decoded_message_get(w->decoded));
		free_waiting(w);
	}
	return G_SOURCE_REMOVE;
}

/* Return: true when the message can be freed: it was sent or has expired. */
static bool retry_send(struct bb_outbox *ob, struct waiting_message *w,
		       int64_t now_us)
{
	if (now_us < w->retry_us)
		return false;
	if (!bb_transport_send(bb_endpoint_transport(ob->o.endpoint), w->host,
			       bb_decoded_message_get(w->decoded), NULL))
		return true;
	w->retry_delay_us = MIN(2 * w->retry_delay_us, RETRY_MAX_US);
	w->retry_us = now_us + w->retry_delay_us;
	return now_us >= w->deadline_us;
}

static gboolean on_retry(gpointer data)
{
	struct bb_outbox *ob = data;
	int64_t now_us = bb_clock_now_us();
	guint nr = g_queue_get_length(&ob->waiting);

	while (nr--) {
		struct waiting_message *w = g_queue_pop_head(&ob->waiting);

		if (retry_send(ob, w, now_us))
			free_waiting(w);
		else
			g_queue_push_tail(&ob->waiting, w);
	}
	if (!g_queue_is_empty(&ob->waiting))
		return G_SOURCE_CONTINUE;
	bb_loop_remove(&ob->retry_timer);
	return G_SOURCE_REMOVE;
}

struct bb_outbox *bb_outbox_new(const struct bb_outbox_options *o)
{
	struct bb_outbox *ob = g_new0(struct bb_outbox, 1);

	ob->o = *o;
	ob->self = BB_NO_ROW;
	g_queue_init(&ob->own);
	g_queue_init(&ob->waiting);
	return ob;
}

void bb_outbox_set_self(struct bb_outbox *ob, uint32_t self)
{
	ob->self = self;
	g_queue_clear_full(&ob->own, free_waiting);
	g_queue_clear_full(&ob->waiting, free_waiting);
}

static void send_own(struct bb_outbox *ob, const struct bb_message *m)
{
	struct waiting_message *w = copy_message(ob->self, m);

	if (!w)
		return;
	g_queue_push_tail(&ob->own, w);
	if (!ob->own_timer)
		ob->own_timer =
			bb_loop_add_timeout(ob->o.context, 0, deliver_own, ob);
}

void bb_outbox_send(void *outbox, uint32_t host, const struct bb_message *m)
{
	struct bb_outbox *ob = outbox;
	struct waiting_message *w;
	struct bb_error err;

	if (host == ob->self) {
		send_own(ob, m);
		return;
	}
	if (!bb_transport_send(bb_endpoint_transport(ob->o.endpoint), host, m,
			       &err) ||
	    err.code != BB_ERROR_FULL)
		return;
	if (g_queue_get_length(&ob->waiting) >= WAITING_MESSAGES_MAX)
		return;
	w = copy_message(host, m);
	if (!w)
		return;
	g_queue_push_tail(&ob->waiting, w);
	if (!ob->retry_timer)
		ob->retry_timer = bb_loop_add_timeout(
			ob->o.context, RETRY_MIN_US, on_retry, ob);
}

void bb_outbox_delete(struct bb_outbox *ob)
{
	if (!ob)
		return;
	bb_loop_remove(&ob->own_timer);
	bb_loop_remove(&ob->retry_timer);
	g_queue_clear_full(&ob->own, free_waiting);
	g_queue_clear_full(&ob->waiting, free_waiting);
	g_free(ob);
}
