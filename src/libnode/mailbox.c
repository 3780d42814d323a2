#include "libnode/mailbox.h"

#include <errno.h>
#include <glib-unix.h>
#include <stdint.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "libcore/ring.h"
#include "libnode/loop.h"

struct bb_mailbox {
	struct bb_ring *ring;
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
	m->ring = bb_ring_new(capacity);
	return m;
}

bool bb_mailbox_push(struct bb_mailbox *m, void *entry)
{
	uint64_t one = 1;

	if (!bb_ring_push(m->ring, entry))
		return false;
	/* EAGAIN means that the counter is full, so a wake-up is pending. */
	while (write(m->event_fd, &one, sizeof(one)) < 0 && errno == EINTR)
		;
	return true;
}

void bb_mailbox_drain(struct bb_mailbox *m)
{
	void *entry;

	while (bb_ring_pop(m->ring, &entry))
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

	while (bb_ring_pop(m->ring, &entry))
		release(NULL, entry);
}

void bb_mailbox_delete(struct bb_mailbox *m)
{
	if (!m)
		return;
	bb_loop_remove(&m->source);
	close(m->event_fd);
	bb_ring_delete(m->ring);
	g_free(m);
}
