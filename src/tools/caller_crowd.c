/*
 * Simulates a crowd of hostile callers: each sends the head and the body of one
 * request, and most stop one byte short of the end and keep the connection open.
 * Options let them stop earlier, close their sending direction, leave without an
 * answer or never read one. A caller that gets an answer or whose connection is
 * closed comes back after a pause, so that the crowd stays until this program
 * ends.
 *
 * Prints "settled" with counts as soon as each caller has once stopped short,
 * got an answer, lost its connection or sent nothing for STALLED_US because the
 * node does not read on. It ends on SIGTERM or after --limit-s, and prints how
 * often it got each status.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "baobabward/clock.h"

/* Limits of the options, as a protection against mistyped ones. */
#define CALLERS_MAX 4000
#define BODY_MAX_BYTES (64 * 1024 * 1024)
/* Time without a byte sent after which a caller counts as stalled. */
#define STALLED_US (2 * BB_US_PER_S)
/* Receive buffer of callers that do not read, so that the rest of an answer stays
 * at the node. */
#define UNREAD_BUFFER_BYTES 4096
/* Longest sleep, so that pieces that are due and the limit are noticed. */
#define POLL_MS 5
/* Source addresses are 127.0.1.1, 127.0.1.2 and so on. */
#define FIRST_SOURCE 0x7f000101u
/* Statuses are counted by their number. */
#define STATUS_MAX 600

static char *address = NULL;
static int port = 0;
static char *path = NULL;
static char *method = NULL;
static char **keys;
static char **headers;
static int callers_nr = 100;
static int body_bytes = 1024 * 1024;
static int announce_bytes = 0;
static int chunk_bytes = 0;
static int piece_bytes = 65536;
static int piece_ms = 0;
static int short_percent = 90;
static int stop_after = -1;
static gboolean half_close = FALSE;
static gboolean no_read = FALSE;
static gboolean hold_answer = FALSE;
static int patience_ms = 0;
static int sources = 1;
static int return_ms = 500;
static int limit_s = 120;

static const GOptionEntry entries[] = {
	{ "address", 'a', 0, G_OPTION_ARG_STRING, (void *)&address,
	  "IPv4 address of the node, by default 127.0.0.1", "IP" },
	{ "port", 'p', 0, G_OPTION_ARG_INT, &port, "port of the node", "PORT" },
	{ "path", 0, 0, G_OPTION_ARG_STRING, (void *)&path,
	  "target of the requests, by default /orders", "PATH" },
	{ "method", 0, 0, G_OPTION_ARG_STRING, (void *)&method,
	  "method of the requests, by default POST", "METHOD" },
	{ "header", 0, 0, G_OPTION_ARG_STRING_ARRAY, (void *)&headers,
	  "additional header line; may be repeated", "LINE" },
	{ "key", 'k', 0, G_OPTION_ARG_STRING_ARRAY, (void *)&keys,
	  "key of a client account; may be repeated", "KEY" },
	{ "callers", 'c', 0, G_OPTION_ARG_INT, &callers_nr, "number of callers",
	  "N" },
	{ "body-bytes", 'b', 0, G_OPTION_ARG_INT, &body_bytes,
	  "size of a complete body", "BYTES" },
	{ "announce-bytes", 0, 0, G_OPTION_ARG_INT, &announce_bytes,
	  "Content-Length to announce, by default the size of the body",
	  "BYTES" },
	{ "chunk-bytes", 0, 0, G_OPTION_ARG_INT, &chunk_bytes,
	  "send the body in chunks of this size, 0 for a Content-Length",
	  "BYTES" },
	{ "piece-bytes", 0, 0, G_OPTION_ARG_INT, &piece_bytes,
	  "most bytes in one write", "BYTES" },
	{ "piece-ms", 0, 0, G_OPTION_ARG_INT, &piece_ms,
	  "pause between two writes", "MS" },
	{ "short-percent", 0, 0, G_OPTION_ARG_INT, &short_percent,
	  "share of callers that stop one byte short", "PERCENT" },
	{ "stop-after", 0, 0, G_OPTION_ARG_INT, &stop_after,
	  "bytes after the head at which these callers stop instead", "BYTES" },
	{ "half-close", 0, 0, G_OPTION_ARG_NONE, &half_close,
	  "close the sending direction after the last byte", NULL },
	{ "no-read", 0, 0, G_OPTION_ARG_NONE, &no_read, "never read the answer",
	  NULL },
	{ "hold-answer", 0, 0, G_OPTION_ARG_NONE, &hold_answer,
	  "read no more than the beginning of an answer with status 200, and "
	  "stay",
	  NULL },
	{ "patience-ms", 0, 0, G_OPTION_ARG_INT, &patience_ms,
	  "time without a byte sent after which a caller leaves, by default "
	  "it stays",
	  "MS" },
	{ "sources", 0, 0, G_OPTION_ARG_INT, &sources,
	  "number of source addresses", "N" },
	{ "return-ms", 0, 0, G_OPTION_ARG_INT, &return_ms,
	  "pause before a caller comes back", "MS" },
	{ "limit-s", 0, 0, G_OPTION_ARG_INT, &limit_s,
	  "longest run of this program", "S" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

/**
 * struct script - what callers with one key send.
 * @text: head and complete body
 * @short_size: size at which callers stop that stop short
 */
struct script {
	GString *text;
	size_t short_size;
};

/**
 * struct caller - one caller.
 * @script: what it sends
 * @stops_short: stops one byte before the end of the body
 * @source: number of its source address
 * @fd: connection, -1 during the pause before it comes back
 * @sent: bytes sent on this connection
 * @progress_us: when it last connected or sent a byte
 * @due_us: time of the next write, or of the next connection
 * @holds: has got an answer with status 200 and does not read it to its end
 * @settled: see the head of this file; stays set
 */
struct caller {
	const struct script *script;
	bool stops_short;
	unsigned int source;
	int fd;
	size_t sent;
	int64_t progress_us;
	int64_t due_us;
	bool holds;
	bool settled;
};

/**
 * struct crowd - all callers and what they saw.
 * @statuses: answers by status
 * @closed: connections that ended without an answer
 * @refused: connections that could not be opened
 * @reached_end: requests of which all bytes that the caller wants to send were
 *               sent
 */
struct crowd {
	struct caller *callers;
	struct pollfd *polls;
	unsigned int statuses[STATUS_MAX];
	unsigned int closed;
	unsigned int refused;
	unsigned int reached_end;
};

static volatile sig_atomic_t ended;

static void on_signal(int signal_number)
{
	(void)signal_number;
	ended = 1;
}

static void append_body(struct script *s)
{
	int left = body_bytes;

	if (!chunk_bytes) {
		gsize at = s->text->len;

		g_string_set_size(s->text, at + (gsize)body_bytes);
		memset(s->text->str + at, 'x', (size_t)body_bytes);
		s->short_size = s->text->len - 1;
		return;
	}
	while (left) {
		int n = MIN(left, chunk_bytes);

		g_string_append_printf(s->text, "%x\r\n", (unsigned int)n);
		for (int i = 0; i < n; i++)
			g_string_append_c(s->text, 'x');
		left -= n;
		s->short_size = s->text->len - 1;
		g_string_append(s->text, "\r\n");
	}
	g_string_append(s->text, "0\r\n\r\n");
}

static struct script new_script(const char *key)
{
	struct script s = { .text = g_string_new(NULL) };

	size_t head_size;

	g_string_append_printf(s.text, "%s %s HTTP/1.1\r\n", method, path);
	for (char **h = headers; h && *h; h++)
		g_string_append_printf(s.text, "%s\r\n", *h);
	if (!headers)
		g_string_append(s.text, "Host: crowd\r\nX-Test-Id: crowd\r\n");
	if (key)
		g_string_append_printf(s.text, "Authorization: Bearer %s\r\n",
				       key);
	if (chunk_bytes)
		g_string_append(s.text, "Transfer-Encoding: chunked\r\n\r\n");
	else
		g_string_append_printf(s.text, "Content-Length: %d\r\n\r\n",
				       announce_bytes ? announce_bytes :
							body_bytes);
	head_size = s.text->len;
	append_body(&s);
	if (stop_after >= 0)
		s.short_size = MIN(head_size + (size_t)stop_after, s.text->len);
	return s;
}

static size_t wanted_size(const struct caller *c)
{
	return c->stops_short ? c->script->short_size : c->script->text->len;
}

static void leave(struct caller *c, int64_t now_us)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	c->settled = true;
	c->due_us = now_us + return_ms * BB_US_PER_MS;
}

static void come(struct crowd *w, struct caller *c, int64_t now_us)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	struct sockaddr_in from = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(FIRST_SOURCE + c->source),
	};
	const int buffer_bytes = UNREAD_BUFFER_BYTES;

	inet_pton(AF_INET, address, &to.sin_addr);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (no_read || hold_answer)
		setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
			   sizeof(buffer_bytes));
	c->sent = 0;
	c->holds = false;
	c->progress_us = now_us;
	c->due_us = now_us;
	if (c->fd >= 0 &&
	    !bind(c->fd, (const struct sockaddr *)&from, sizeof(from)) &&
	    (!connect(c->fd, (const struct sockaddr *)&to, sizeof(to)) ||
	     errno == EINPROGRESS))
		return;
	w->refused++;
	leave(c, now_us);
}

static void send_more(struct crowd *w, struct caller *c, int64_t now_us)
{
	size_t size = wanted_size(c);

	while (c->sent < size && c->due_us <= now_us) {
		size_t n = MIN(size - c->sent, (size_t)piece_bytes);
		ssize_t rc = send(c->fd, c->script->text->str + c->sent, n,
				  MSG_NOSIGNAL);

		if (rc < 0)
			return;
		c->sent += (size_t)rc;
		c->progress_us = now_us;
		if (piece_ms)
			c->due_us = now_us + piece_ms * BB_US_PER_MS;
		if (c->sent < size)
			continue;
		w->reached_end++;
		if (half_close)
			shutdown(c->fd, SHUT_WR);
	}
	if (c->sent == size && c->stops_short)
		c->settled = true;
}

/* Reads the beginning of an answer or the end of the connection, after either of
 * which the caller leaves unless it holds its answer. */
static void read_answer(struct crowd *w, struct caller *c, int64_t now_us)
{
	char text[4096];
	ssize_t n = recv(c->fd, text, sizeof(text) - 1, 0);
	unsigned int status = 0;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0) {
		text[n] = '\0';
		if (sscanf(text, "HTTP/1.1 %3u", &status) == 1 &&
		    status < STATUS_MAX)
			w->statuses[status]++;
	}
	if (!status)
		w->closed++;
	c->holds = hold_answer && status == 200;
	c->settled |= c->holds;
	if (!c->holds)
		leave(c, now_us);
}

static bool does_not_read(const struct caller *c)
{
	return no_read || c->holds;
}

static void serve(struct crowd *w, struct caller *c, short events)
{
	int64_t now_us = bb_clock_now_us();

	if (c->fd < 0) {
		if (now_us >= c->due_us)
			come(w, c, now_us);
		return;
	}
	if (does_not_read(c) && events & (POLLHUP | POLLERR)) {
		w->closed++;
		leave(c, now_us);
	} else if (!does_not_read(c) && events & (POLLIN | POLLHUP | POLLERR)) {
		read_answer(w, c, now_us);
	}
	if (c->fd >= 0 && events & POLLOUT)
		send_more(w, c, now_us);
	if (now_us - c->progress_us > STALLED_US)
		c->settled = true;
	if (c->fd >= 0 && patience_ms &&
	    now_us - c->progress_us > patience_ms * BB_US_PER_MS)
		leave(c, now_us);
}

static void fill_poll(struct pollfd *p, const struct caller *c, int64_t now_us)
{
	p->fd = c->fd;
	p->events = does_not_read(c) ? 0 : POLLIN;
	p->revents = 0;
	if (c->sent < wanted_size(c) && c->due_us <= now_us)
		p->events |= POLLOUT;
}

static void run_round(struct crowd *w)
{
	int64_t now_us = bb_clock_now_us();

	for (int i = 0; i < callers_nr; i++)
		fill_poll(&w->polls[i], &w->callers[i], now_us);
	poll(w->polls, (nfds_t)callers_nr, POLL_MS);
	for (int i = 0; i < callers_nr; i++)
		serve(w, &w->callers[i], w->polls[i].revents);
}

static bool is_settled(const struct crowd *w)
{
	for (int i = 0; i < callers_nr; i++)
		if (!w->callers[i].settled)
			return false;
	return true;
}

static void print_state(const struct crowd *w, const char *what)
{
	int connected = 0;

	for (int i = 0; i < callers_nr; i++)
		connected += w->callers[i].fd >= 0;
	printf("%s connected=%d reached_end=%u closed=%u refused=%u", what,
	       connected, w->reached_end, w->closed, w->refused);
	for (int i = 0; i < STATUS_MAX; i++)
		if (w->statuses[i])
			printf(" status_%d=%u", i, w->statuses[i]);
	putchar('\n');
	fflush(stdout);
}

static bool is_valid(void)
{
	return port > 0 && port < 65536 && callers_nr > 0 &&
	       callers_nr <= CALLERS_MAX && body_bytes >= 0 &&
	       body_bytes <= BODY_MAX_BYTES && chunk_bytes >= 0 &&
	       piece_bytes > 0 && piece_ms >= 0 && sources > 0 &&
	       sources < 250 && return_ms >= 0 && limit_s > 0 &&
	       announce_bytes >= 0 && stop_after >= -1 && patience_ms >= 0;
}

static void run(struct crowd *w)
{
	guint keys_nr = keys ? g_strv_length(keys) : 0;
	struct script *scripts = g_new0(struct script, keys_nr + 1);
	int64_t end_us = bb_clock_now_us() + limit_s * BB_US_PER_S;
	bool settled = false;

	for (guint i = 0; i < MAX(keys_nr, 1); i++)
		scripts[i] = new_script(keys_nr ? keys[i] : NULL);
	for (int i = 0; i < callers_nr; i++) {
		struct caller *c = &w->callers[i];

		c->script = &scripts[(guint)i % MAX(keys_nr, 1)];
		c->stops_short = i % 100 < short_percent;
		c->source = (unsigned int)(i % sources);
		c->fd = -1;
	}
	while (!ended && bb_clock_now_us() < end_us) {
		run_round(w);
		if (!settled && is_settled(w)) {
			settled = true;
			print_state(w, "settled");
		}
	}
	print_state(w, "ended");
	for (int i = 0; i < callers_nr; i++)
		if (w->callers[i].fd >= 0)
			close(w->callers[i].fd);
	for (guint i = 0; i < MAX(keys_nr, 1); i++)
		g_string_free(scripts[i].text, TRUE);
	g_free(scripts);
}

int main(int argc, char **argv)
{
	GOptionContext *context =
		g_option_context_new("- crowd of hostile callers");
	struct crowd w = { 0 };
	GError *error = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "caller_crowd: %s\n", error->message);
		return 2;
	}
	g_option_context_free(context);
	if (!address)
		address = g_strdup("127.0.0.1");
	if (!path)
		path = g_strdup("/orders");
	if (!method)
		method = g_strdup("POST");
	if (!is_valid()) {
		fprintf(stderr, "caller_crowd: an option is not valid\n");
		return 2;
	}
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	w.callers = g_new0(struct caller, callers_nr);
	w.polls = g_new0(struct pollfd, callers_nr);
	run(&w);
	g_free(w.callers);
	g_free(w.polls);
	g_strfreev(keys);
	g_strfreev(headers);
	g_free(method);
	g_free(address);
	g_free(path);
	return 0;
}
