/*
 * TCP relay that simulates network faults between two processes on loopback,
 * for tests.
 *
 * tcp_relay LISTEN_PORT TARGET_PORT [TARGET_ADDRESS [LISTEN_ADDRESS]]
 *
 * Listens on LISTEN_PORT (0 for a free port) and forwards each connection to
 * TARGET_PORT of TARGET_ADDRESS; both addresses are 127.0.0.1 by default.
 * Prints "listening PORT" on standard output, then "ok COMMAND" for each of
 * these commands on standard input, or "unknown COMMAND" for any other line:
 *
 *   pass           forward both directions without delay (initial state)
 *   drop-forward   read and discard what the connecting side sends
 *   drop-backward  read and discard what the target sends
 *   silent         keep connections open but read and forward nothing
 *   delay-ms N     hold data for N milliseconds before forwarding it
 *   hang           as silent for the connections that are open now, until they
 *                  are closed by the command close; new ones are forwarded
 *   close          close all connections; new ones are accepted
 *
 * A connection that lost bytes cannot be resumed, because its stream is broken:
 * pass closes it, and only new connections are forwarded. The relay ends at the
 * end of standard input.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes read at once, and bytes held in one direction above which reading
 * stops. */
#define READ_MAX_BYTES 16384
#define HELD_MAX_BYTES (1u << 20)
#define DELAY_MAX_MS 60000

enum direction { FORWARD, BACKWARD, DIRECTION_COUNT };

/**
 * struct chunk - bytes that wait to be forwarded.
 * @due_us: time before which they are not forwarded
 * @sent: number of bytes already forwarded
 */
struct chunk {
	gint64 due_us;
	GBytes *bytes;
	size_t sent;
};

/**
 * struct flow - one direction of a connection.
 * @from: socket that is read
 * @to: socket that is written
 * @eof: @from sends no more
 * @shut_down: all bytes were forwarded after @eof and @to was shut down
 * @held: chunks in order of arrival
 * @held_bytes: number of bytes in @held
 */
struct flow {
	int from;
	int to;
	bool eof;
	bool shut_down;
	GQueue *held;
	size_t held_bytes;
};

/**
 * struct connection - forwarded connection.
 * @broken: a socket failed, the connection is closed
 * @lossy: bytes were discarded
 * @hung: neither read nor written any more (command hang)
 */
struct connection {
	struct flow flows[DIRECTION_COUNT];
	bool broken;
	bool lossy;
	bool hung;
};

/**
 * struct relay - state of the program.
 * @target_port: port that connections are forwarded to
 * @target: address that connections are forwarded to
 * @drop: bytes of a direction are discarded
 * @silent: no connection is read or written
 * @delay_us: delay of bytes before they are forwarded
 * @input: start of an incomplete command
 * @input_ended: end of standard input, the program ends
 */
struct relay {
	int listen_fd;
	uint16_t target_port;
	struct in_addr target;
	bool drop[DIRECTION_COUNT];
	bool silent;
	gint64 delay_us;
	GPtrArray *connections;
	GString *input;
	bool input_ended;
};

static void flow_finish(struct flow *f)
{
	struct chunk *c;

	while ((c = g_queue_pop_head(f->held))) {
		g_bytes_unref(c->bytes);
		g_free(c);
	}
	g_queue_free(f->held);
}

static void connection_delete(gpointer data)
{
	struct connection *c = data;

	flow_finish(&c->flows[FORWARD]);
	flow_finish(&c->flows[BACKWARD]);
	close(c->flows[FORWARD].from);
	close(c->flows[FORWARD].to);
	g_free(c);
}

static void accept_connection(struct relay *r)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_addr = r->target,
				 .sin_port = htons(r->target_port) };
	struct connection *c;
	int fd =
		accept4(r->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target;

	if (fd < 0)
		return;
	/* connect() blocks only briefly, because loopback connects or fails at
	 * once. */
	target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (target < 0 || connect(target, (struct sockaddr *)&a, sizeof(a))) {
		if (target >= 0)
			close(target);
		close(fd);
		return;
	}
	c = g_new0(struct connection, 1);
	c->flows[FORWARD] = (struct flow){ .from = fd, .to = target };
	c->flows[BACKWARD] = (struct flow){ .from = target, .to = fd };
	c->flows[FORWARD].held = g_queue_new();
	c->flows[BACKWARD].held = g_queue_new();
	g_ptr_array_add(r->connections, c);
}

static void read_flow(struct relay *r, struct connection *c, enum direction d)
{
	struct flow *f = &c->flows[d];
	char buffer[READ_MAX_BYTES];
	struct chunk *chunk;
	ssize_t n = recv(f->from, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (n < 0) {
		c->broken |= errno != EAGAIN && errno != EINTR;
		return;
	}
	if (!n) {
		f->eof = true;
		return;
	}
	if (r->drop[d]) {
		c->lossy = true;
		return;
	}
	chunk = g_new0(struct chunk, 1);
	chunk->due_us = g_get_monotonic_time() + r->delay_us;
	chunk->bytes = g_bytes_new(buffer, (size_t)n);
	g_queue_push_tail(f->held, chunk);
	f->held_bytes += (size_t)n;
}

/* Forwards the chunks that are due; what does not fit into the socket is tried
 * again at the next call. */
static void write_flow(struct connection *c, struct flow *f, gint64 now)
{
	struct chunk *chunk;

	while ((chunk = g_queue_peek_head(f->held)) && chunk->due_us <= now) {
		size_t size;
		const char *data = g_bytes_get_data(chunk->bytes, &size);
		ssize_t n = send(f->to, data + chunk->sent, size - chunk->sent,
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0) {
			c->broken |= errno != EAGAIN && errno != EINTR;
			return;
		}
		chunk->sent += (size_t)n;
		f->held_bytes -= (size_t)n;
		if (chunk->sent < size)
			return;
		g_queue_pop_head(f->held);
		g_bytes_unref(chunk->bytes);
		g_free(chunk);
	}
	if (f->eof && !f->shut_down && g_queue_is_empty(f->held)) {
		shutdown(f->to, SHUT_WR);
		f->shut_down = true;
	}
}

static void close_lossy(struct relay *r)
{
	for (guint i = r->connections->len; i-- > 0;) {
		struct connection *c = g_ptr_array_index(r->connections, i);

		if (c->lossy)
			g_ptr_array_remove_index_fast(r->connections, i);
	}
}

static bool run_command(struct relay *r, const char *command)
{
	char *end = NULL;
	long delay;

	if (!strcmp(command, "pass")) {
		r->drop[FORWARD] = r->drop[BACKWARD] = r->silent = false;
		r->delay_us = 0;
		close_lossy(r);
	} else if (!strcmp(command, "drop-forward")) {
		r->drop[FORWARD] = true;
	} else if (!strcmp(command, "drop-backward")) {
		r->drop[BACKWARD] = true;
	} else if (!strcmp(command, "silent")) {
		r->silent = true;
	} else if (!strcmp(command, "hang")) {
		for (guint i = 0; i < r->connections->len; i++)
			((struct connection *)g_ptr_array_index(r->connections,
								i))
				->hung = true;
	} else if (!strcmp(command, "close")) {
		g_ptr_array_set_size(r->connections, 0);
	} else if (g_str_has_prefix(command, "delay-ms ")) {
		delay = strtol(command + strlen("delay-ms "), &end, 10);
		if (*end || delay < 0 || delay > DELAY_MAX_MS)
			return false;
		r->delay_us = 1000 * (gint64)delay;
	} else {
		return false;
	}
	return true;
}

static void run_commands(struct relay *r)
{
	char buffer[256], *newline;
	ssize_t n = read(STDIN_FILENO, buffer, sizeof(buffer));

	if (n <= 0) {
		r->input_ended = true;
		return;
	}
	g_string_append_len(r->input, buffer, n);
	while ((newline = strchr(r->input->str, '\n'))) {
		*newline = '\0';
		printf("%s %s\n",
		       run_command(r, r->input->str) ? "ok" : "unknown",
		       r->input->str);
		fflush(stdout);
		g_string_erase(r->input, 0, newline - r->input->str + 1);
	}
}

static void serve_connection(struct relay *r, struct connection *c)
{
	gint64 now = g_get_monotonic_time();

	for (int d = 0; d < DIRECTION_COUNT; d++) {
		struct flow *f = &c->flows[d];

		if (!f->eof && f->held_bytes < HELD_MAX_BYTES)
			read_flow(r, c, (enum direction)d);
		write_flow(c, f, now);
	}
}

static void serve(struct relay *r)
{
	/* Short enough for the command delay-ms with a few milliseconds. */
	const int poll_interval_ms = 1;
	struct pollfd fds[2] = {
		{ .fd = STDIN_FILENO, .events = POLLIN },
		{ .fd = r->listen_fd, .events = POLLIN },
	};

	while (!r->input_ended) {
		if (poll(fds, 2, r->connections->len ? poll_interval_ms : -1) <
			    0 &&
		    errno != EINTR)
			return;
		if (fds[0].revents)
			run_commands(r);
		if (fds[1].revents)
			accept_connection(r);
		for (guint i = r->connections->len; i-- > 0;) {
			struct connection *c =
				g_ptr_array_index(r->connections, i);

			if (r->silent || c->hung)
				continue;
			serve_connection(r, c);
			if (c->broken || (c->flows[FORWARD].shut_down &&
					  c->flows[BACKWARD].shut_down))
				g_ptr_array_remove_index_fast(r->connections,
							      i);
		}
	}
}

static int listen_on(struct in_addr address, uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_addr = address,
				 .sin_port = htons(port) };
	socklen_t size = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 64) ||
	    getsockname(fd, (struct sockaddr *)&a, &size)) {
		close(fd);
		return -1;
	}
	printf("listening %u\n", (unsigned int)ntohs(a.sin_port));
	fflush(stdout);
	return fd;
}

static bool parse_port(const char *s, uint16_t *port)
{
	char *end;
	long n = strtol(s, &end, 10);

	*port = (uint16_t)n;
	return *s && !*end && n >= 0 && n <= UINT16_MAX;
}

int main(int argc, char **argv)
{
	struct relay r = { 0 };
	struct in_addr address;
	uint16_t port;

	if (argc < 3 || argc > 5 || !parse_port(argv[1], &port) ||
	    !parse_port(argv[2], &r.target_port) || !r.target_port ||
	    !inet_aton(argc > 3 ? argv[3] : "127.0.0.1", &r.target) ||
	    !inet_aton(argc > 4 ? argv[4] : "127.0.0.1", &address)) {
		fprintf(stderr, "usage: tcp_relay LISTEN_PORT TARGET_PORT "
				"[TARGET_ADDRESS [LISTEN_ADDRESS]]\n");
		return 2;
	}
	r.listen_fd = listen_on(address, port);
	if (r.listen_fd < 0) {
		perror("tcp_relay: cannot listen");
		return 1;
	}
	r.connections = g_ptr_array_new_with_free_func(connection_delete);
	r.input = g_string_new(NULL);
	serve(&r);
	g_ptr_array_free(r.connections, TRUE);
	g_string_free(r.input, TRUE);
	close(r.listen_fd);
	return 0;
}
