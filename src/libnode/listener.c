#include "libnode/listener.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "baobabward/rounds.h"
#include "libnode/address.h"
#include "libnode/socket.h"

/* Pause before the next attempt when no connection can be accepted. */
#define ACCEPT_RETRY_MS 10

/**
 * struct bb_listener - a listening socket and its thread.
 * @o: options; the address is NULL after bb_listener_new()
 * @fd: listening socket, -1 after the drain
 * @stop_fd: eventfd that ends @thread
 * @thread: accepts connections
 * @started: @thread runs and was not joined
 */
struct bb_listener {
	struct bb_listener_options o;
	int fd;
	int stop_fd;
	pthread_t thread;
	bool started;
};

/*
 * Return: 1 if a connection was accepted or the call should be repeated, 0 if
 * none waits, -1 on an error such as a lack of descriptors.
 */
static int accept_one(struct bb_listener *l)
{
	struct sockaddr_storage ss;
	socklen_t size = sizeof(ss);
	int c = accept4(l->fd, (struct sockaddr *)&ss, &size,
			SOCK_CLOEXEC | SOCK_NONBLOCK);

	if (c >= 0) {
		l->o.accepted(l->o.data, c, (struct sockaddr *)&ss, size);
		return 1;
	}
	if (errno == EAGAIN)
		return 0;
	/* The caller closed the connection, or a signal arrived. */
	return errno == ECONNABORTED || errno == EINTR ? 1 : -1;
}

static void *accept_loop(void *data)
{
	struct bb_listener *l = data;
	bool paused = false;

	bb_rounds_begin(BB_THREAD_ACCEPT);
	for (;;) {
		struct pollfd p[] = { { .fd = l->stop_fd, .events = POLLIN },
				      { .fd = l->fd, .events = POLLIN } };

		bb_rounds_poll(p, paused ? 1 : 2,
			       paused ? ACCEPT_RETRY_MS : -1);
		if (p[0].revents)
			return NULL;
		bb_rounds_note("listener.c:accept");
		/*
		 * Without free descriptors the socket stays readable, so pause
		 * then, too, instead of spinning.
		 */
		paused = l->o.at_limit(l->o.data) || accept_one(l) < 0;
	}
}

static int open_socket(struct bb_listener *l, struct bb_error *err)
{
	const int on = 1;
	struct sockaddr_storage ss;
	socklen_t size;

	if (bb_address_parse(l->o.address, l->o.port, &ss, err))
		return -1;
	size = ss.ss_family == AF_INET6 ? sizeof(struct sockaddr_in6) :
					  sizeof(struct sockaddr_in);
	l->fd = socket(ss.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
		       0);
	if (l->fd < 0 ||
	    setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    bind(l->fd, (struct sockaddr *)&ss, size) ||
	    listen(l->fd, SOMAXCONN))
		return bb_error_set(err, BB_ERROR_IO,
				    "cannot listen on %s port %u for callers: "
				    "%s",
				    l->o.address, l->o.port, g_strerror(errno));
	return 0;
}

struct bb_listener *bb_listener_new(const struct bb_listener_options *o,
				    struct bb_error *err)
{
	struct bb_listener *l = g_new0(struct bb_listener, 1);
	int rc;

	l->o = *o;
	l->fd = -1;
	l->stop_fd = eventfd(0, EFD_CLOEXEC);
	rc = open_socket(l, err);
	l->o.address = NULL;
	if (!rc && l->stop_fd >= 0) {
		l->started = !pthread_create(&l->thread, NULL, accept_loop, l);
		if (l->started)
			return l;
	}
	if (!rc)
		bb_error_set(err, BB_ERROR_IO,
			     "cannot start the thread that accepts callers' "
			     "connections");
	bb_listener_delete(l);
	return NULL;
}

uint16_t bb_listener_port(const struct bb_listener *l)
{
	return (uint16_t)bb_socket_local_port(l->fd);
}

bool bb_listener_drain(struct bb_listener *l)
{
	bool any_waited = false;

	if (l->started) {
		eventfd_write(l->stop_fd, 1);
		pthread_join(l->thread, NULL);
		l->started = false;
		while (accept_one(l) > 0)
			any_waited = true;
	}
	if (l->fd >= 0)
		close(l->fd);
	l->fd = -1;
	return any_waited;
}

void bb_listener_delete(struct bb_listener *l)
{
	if (!l)
		return;
	bb_listener_drain(l);
	if (l->stop_fd >= 0)
		close(l->stop_fd);
	g_free(l);
}
