#include "libnode/signals.h"

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "libnode/loop.h"

/**
 * struct bb_signals - see signals.h.
 * @fd: descriptor that signals are read from
 * @source: its source in the main loop
 * @receive: called for each signal
 * @data: passed to @receive
 */
struct bb_signals {
	int fd;
	GSource *source;
	void (*receive)(void *data, int number);
	void *data;
};

static void fill_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
}

void bb_signals_block(void)
{
	sigset_t set;

	fill_set(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

static gboolean on_signal(gint fd, GIOCondition condition, gpointer data)
{
	struct bb_signals *s = data;
	struct signalfd_siginfo info;

	(void)condition;
	while (read(fd, &info, sizeof(info)) == sizeof(info))
		s->receive(s->data, (int)info.ssi_signo);
	return G_SOURCE_CONTINUE;
}

struct bb_signals *bb_signals_new(GMainContext *context,
				  void (*receive)(void *data, int number),
				  void *data, struct bb_error *err)
{
	struct bb_signals *s = g_new0(struct bb_signals, 1);
	sigset_t set;

	fill_set(&set);
	s->receive = receive;
	s->data = data;
	s->fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (s->fd < 0) {
		bb_error_set(err, BB_ERROR_IO, "cannot create signalfd: %s",
			     g_strerror(errno));
		g_free(s);
		return NULL;
	}
	s->source = bb_loop_add_fd(context, s->fd, G_IO_IN, on_signal, s);
	return s;
}

void bb_signals_delete(struct bb_signals *s)
{
	if (!s)
		return;
	bb_loop_remove(&s->source);
	close(s->fd);
	g_free(s);
}
