#include "libnode/callers.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <sys/socket.h>

#include "baobabward/log.h"

/**
 * struct bb_caller - an open connection.
 * @link: its place in the list
 * @fd: socket
 */
struct bb_caller {
	GList link;
	int fd;
};

/**
 * struct bb_callers - see callers.h.
 * @lock: guards the list and its entries
 * @open: all connections, the one that was checked last at the end
 */
struct bb_callers {
	pthread_mutex_t lock;
	GQueue open;
};

struct bb_callers *bb_callers_new(void)
{
	struct bb_callers *all = g_new0(struct bb_callers, 1);

	pthread_mutex_init(&all->lock, NULL);
	g_queue_init(&all->open);
	return all;
}

void bb_callers_delete(struct bb_callers *all)
{
	if (!all)
		return;
	pthread_mutex_destroy(&all->lock);
	g_free(all);
}

struct bb_caller *bb_callers_open(struct bb_callers *all, int fd)
{
	struct bb_caller *c = g_new0(struct bb_caller, 1);

	c->fd = fd;
	c->link.data = c;
	pthread_mutex_lock(&all->lock);
	g_queue_push_tail_link(&all->open, &c->link);
	pthread_mutex_unlock(&all->lock);
	return c;
}

void bb_callers_close(struct bb_callers *all, struct bb_caller *c)
{
	if (!c)
		return;
	pthread_mutex_lock(&all->lock);
	g_queue_unlink(&all->open, &c->link);
	pthread_mutex_unlock(&all->lock);
	g_free(c);
}

bool bb_caller_check_end(int fd)
{
	char byte;

	if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT))
		return false;
	if (shutdown(fd, SHUT_RD))
		bb_log_debug(BB_LOG_FRONT,
			     "cannot tell of the end of a caller's connection: "
			     "%s",
			     g_strerror(errno));
	return true;
}

unsigned int bb_callers_check(struct bb_callers *all, unsigned int max)
{
	unsigned int ended = 0;

	pthread_mutex_lock(&all->lock);
	for (guint i = MIN(max, all->open.length); i; i--) {
		GList *l = g_queue_pop_head_link(&all->open);
		const struct bb_caller *c = l->data;

		g_queue_push_tail_link(&all->open, l);
		ended += bb_caller_check_end(c->fd);
	}
	pthread_mutex_unlock(&all->lock);
	return ended;
}
