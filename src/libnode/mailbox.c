#include "libnode/mailbox.h"

#include <ck_ring.h>
#include <errno.h>
#include <glib-unix.h>
#include <stdint.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "baobabward/clock.h"
#include "baobabward/rounds.h"
#include "libnode/loop.h"

/* The ring has many producers and one consumer, the receiving thread. */
struct bb_mailbox {
	ck_ring_t ring;
	ck_ring_buffer_t *buffer;
	int event_fd;
	GSource *source;
	void (*receive)(void *data, void *entry);
	void *data;
};

struct bb_mailbox *bb_mailbox_new(unsigned int capacity, struct bb_error *err)
{
	struct bb_mailbox *m = g_new0(struct bb_mailbox, 1);

	m->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (m->event_fd < 0) {
		bb_error_set(err, BB_ERROR_IO, "cannot create eventfd: %s",
			     g_strerror(errno));
		g_free(m);
		return NULL;
	}
	m->buffer = g_new0(ck_ring_buffer_t, capacity);
	ck_ring_init(&m->ring, capacity);
	return m;
}

bool bb_mailbox_push(struct bb_mailbox *m, void *entry)
{
	int64_t began_us = bb_clock_now_us();
	uint64_t one = 1;

	if (!ck_ring_enqueue_mpsc(&m->ring, m->buffer, entry))
		return false;
	bb_rounds_spun("mailbox", began_us);
	/* EAGAIN means that the counter is full, so a wake-up is pending. */
	while (write(m->event_fd, &one, sizeof(one)) < 0 && errno == EINTR)
		;
	return true;
}

void bb_mailbox_drain(struct bb_mailbox *m)
{
	void *entry;

	while (ck_ring_dequeue_mpsc(&m->ring, m->buffer, &entry))
		m->receive(m->data, entry);
}

static gboolean on_event(gint fd, GIOCondition condition, gpointer data)
{
	struct bb_mailbox *m = data;
	uint64_t count;

	(void)condition;
	while (read(fd, &count, sizeof(count)) < 0 && errno == EINTR)
		;
	bb_mailbox_drain(m);
	return G_SOURCE_CONTINUE;
}

void bb_mailbox_attach(struct bb_mailbox *m, GMainContext *context,
		       void (*receive)(void *data, void *entry), void *data)
{
	m->receive = receive;
	m->data = data;
	m->source = bb_loop_add_fd(context, m->event_fd, G_IO_IN, on_event, m);
}

void bb_mailbox_clear(struct bb_mailbox *m,
		      void (*release)(void *data, void *entry))
{
	void *entry;

	while (ck_ring_dequeue_mpsc(&m->ring, m->buffer, &entry))
		release(NULL, entry);
}

void bb_mailbox_delete(struct bb_mailbox *m)
{
	if (!m)
		return;
	bb_loop_remove(&m->source);
	close(m->event_fd);
	g_free(m->buffer);
	g_free(m);
}
