#include "baobabward/log.h"

#include <assert.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "baobabward/clock.h"
#include "baobabward/metrics.h"

const char *const bb_log_part_string[] = { "main",    "config",	 "front",
					   "traffic", "backend", "member",
					   "lease",   "health",	 "trace" };

static_assert(sizeof(bb_log_part_string) / sizeof(*bb_log_part_string) ==
		      BB_LOG_PART_COUNT,
	      "bb_log_part_string must have a name for each part");

static char node_name[64];
static GLogLevelFlags lowest_level = G_LOG_LEVEL_INFO;

static const char *find_field(const GLogField *fields, gsize n,
			      const char *name)
{
	for (gsize i = 0; i < n; i++)
		if (!strcmp(fields[i].key, name))
			return fields[i].value;
	return NULL;
}

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
		return "info";
	return "debug";
}

/*
 * Lines go to standard output, which must not block the threads that log. A
 * line that does not fit into the pipe, or exceeds the rate of LINES_PER_S with
 * a burst of LINES_BURST, is dropped and counted.
 */
#define LINES_PER_S 300
#define LINES_BURST 1200
/* Longest line in bytes, with the NUL; a longer one is truncated. */
#define LINE_MAX_BYTES 1024

/* Protects the variables below and the order of lines. */
static GMutex write_lock;
static double line_tokens = LINES_BURST;
static int64_t tokens_updated_us;
static uint64_t left_out_reported;

/* Takes a token of the line rate; false if there is none. Needs the lock. */
static bool take_line_token(void)
{
	int64_t now_us = bb_clock_now_us();

	line_tokens += (double)(now_us - tokens_updated_us) * LINES_PER_S /
		       BB_US_PER_S;
	line_tokens = MIN(line_tokens, LINES_BURST);
	tokens_updated_us = now_us;
	if (line_tokens < 1)
		return false;
	line_tokens -= 1;
	return true;
}

/*
 * Writes a line. If the pipe is full, the rest of the line is lost and the line
 * is counted as dropped. Needs the lock.
 */
static void write_text(const char *text)
{
	size_t size = strlen(text);

	if (write(STDOUT_FILENO, text, size) != (ssize_t)size)
		bb_metrics_add(BB_METRIC_LOG_LINES_LEFT_OUT, 1);
}

/* Logs how many lines were dropped since the last report. Needs the lock. */
static void report_left_out(const char *stamp)
{
	uint64_t left_out = bb_metrics_get(BB_METRIC_LOG_LINES_LEFT_OUT);
	char line[LINE_MAX_BYTES];

	if (left_out == left_out_reported)
		return;
	g_snprintf(line, sizeof(line),
		   "time=%s node=%s level=warning part=main event=log_left_out "
		   "lines=%" G_GUINT64_FORMAT "\n",
		   stamp, node_name, left_out - left_out_reported);
	left_out_reported = left_out;
	write_text(line);
}

static void append(char *line, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Appends to a line; leaves room for its newline. */
static void append(char *line, const char *format, ...)
{
	size_t used = strlen(line);
	va_list ap;

	va_start(ap, format);
	vsnprintf(line + used, LINE_MAX_BYTES - 1 - used, format, ap);
	va_end(ap);
}

/* Quotes and escapes a message, so that it remains one value on one line. */
static void append_message(char *line, const char *message)
{
	char *quoted = g_strescape(message, NULL);

	append(line, " msg=\"%s\"", quoted);
	g_free(quoted);
}

/*
 * Callers choose the identifier, so characters that could make it look like
 * another field are replaced.
 */
static void append_request(char *line, const char *request)
{
	char *plain = g_strdup(request);

	g_strcanon(plain,
		   "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		   "0123456789.:-_",
		   '_');
	append(line, " request=%s", plain);
	g_free(plain);
}

static void build_line(char *line, const char *stamp, GLogLevelFlags level,
		       const GLogField *fields, gsize n)
{
	const char *part = find_field(fields, n, "BB_PART");
	const char *request = find_field(fields, n, "BB_REQUEST");
	const char *event = find_field(fields, n, "BB_EVENT");
	const char *message = find_field(fields, n, "MESSAGE");

	line[0] = '\0';
	append(line, "time=%s node=%s level=%s", stamp, node_name,
	       level_name(level));
	if (part)
		append(line, " part=%s", part);
	if (event)
		append(line, " event=%s", event);
	if (request)
		append_request(line, request);
	if (event)
		append(line, " %s", message ? message : "");
	else
		append_message(line, message ? message : "");
	g_strlcat(line, "\n", LINE_MAX_BYTES);
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer data)
{
	char line[LINE_MAX_BYTES];
	GDateTime *now;
	char *stamp;

	(void)data;
	if ((level & G_LOG_LEVEL_MASK) > lowest_level)
		return G_LOG_WRITER_HANDLED;
	g_mutex_lock(&write_lock);
	if (!take_line_token()) {
		bb_metrics_add(BB_METRIC_LOG_LINES_LEFT_OUT, 1);
		g_mutex_unlock(&write_lock);
		return G_LOG_WRITER_HANDLED;
	}
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%FT%T.%fZ");
	build_line(line, stamp, level, fields, n);
	report_left_out(stamp);
	write_text(line);
	g_mutex_unlock(&write_lock);
	g_free(stamp);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

void bb_log_init(const char *node, GLogLevelFlags level)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (node)
		g_strlcpy(node_name, node, sizeof(node_name));
	lowest_level = level;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	g_log_set_writer_func(write_line, NULL, NULL);
}

static void write_formatted(enum bb_log_part part, GLogLevelFlags level,
			    const char *request, const char *event,
			    const char *format, va_list ap)
{
	char message[512];
	const GLogField fields[] = {
		{ "GLIB_DOMAIN", "baobabward", -1 },
		{ "BB_PART", bb_log_part_string[part], -1 },
		{ "MESSAGE", message, -1 },
		{ event ? "BB_EVENT" : "BB_NONE", event ? event : "", -1 },
		{ request ? "BB_REQUEST" : "BB_NONE", request ? request : "",
		  -1 },
	};

	if (level > lowest_level)
		return;
	vsnprintf(message, sizeof(message), format, ap);
	g_log_structured_array(level, fields, G_N_ELEMENTS(fields));
}

void bb_log(enum bb_log_part part, GLogLevelFlags level, const char *request,
	    const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	write_formatted(part, level, request, NULL, format, ap);
	va_end(ap);
}

void bb_log_event(enum bb_log_part part, GLogLevelFlags level,
		  const char *request, const char *event, const char *format,
		  ...)
{
	va_list ap;

	va_start(ap, format);
	write_formatted(part, level, request, event, format, ap);
	va_end(ap);
}
