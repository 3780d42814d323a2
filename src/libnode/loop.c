#include "libnode/loop.h"

#include <poll.h>

#include "baobabward/rounds.h"

/**
 * struct callback - what a source calls.
 * @on_time: for a timer, else NULL
 * @on_fd: for a descriptor, else NULL
 * @data: passed to it
 * @name: names the source where rounds are counted
 */
struct callback {
	GSourceFunc on_time;
	GUnixFDSourceFunc on_fd;
	void *data;
	const char *name;
};

static gint poll_and_count(GPollFD *fds, guint nr, gint timeout_ms)
{
	/* GLib takes a GPollFD for a struct pollfd, too. */
	return bb_rounds_poll((struct pollfd *)(void *)fds, nr, timeout_ms);
}

GMainContext *bb_loop_new(void)
{
	GMainContext *context = g_main_context_new();

	g_main_context_set_poll_func(context, poll_and_count);
	return context;
}

static gboolean call_on_fd(gint fd, GIOCondition condition, gpointer data)
{
	struct callback *c = data;

	bb_rounds_note(c->name);
	return c->on_fd(fd, condition, c->data);
}

static gboolean call_on_time(gpointer data)
{
	struct callback *c = data;

	bb_rounds_note(c->name);
	return c->on_time(c->data);
}

/* GLib frees the callback with its source, but not while it is called. */
static void attach(GSource *s, GMainContext *context, GSourceFunc fn,
		   const struct callback *c)
{
	g_source_set_static_name(s, c->name);
	g_source_set_callback(s, fn, g_memdup2(c, sizeof(*c)), g_free);
	g_source_attach(s, context);
}

GSource *bb_loop_add_named_fd(GMainContext *context, int fd,
			      GIOCondition condition, GUnixFDSourceFunc fn,
			      void *data, const char *name)
{
	GSource *s = g_unix_fd_source_new(fd, condition);
	struct callback c = { .on_fd = fn, .data = data, .name = name };

	attach(s, context, G_SOURCE_FUNC(call_on_fd), &c);
	return s;
}

GSource *bb_loop_add_named_timeout(GMainContext *context, gint64 delay_us,
				   GSourceFunc fn, void *data, const char *name)
{
	gint64 ms = delay_us <= 0 ? 0 : (delay_us + 999) / 1000;
	GSource *s = g_timeout_source_new((guint)MIN(ms, G_MAXINT));
	struct callback c = { .on_time = fn, .data = data, .name = name };

	attach(s, context, call_on_time, &c);
	return s;
}

void bb_loop_remove(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}
