#include "baobabward/rounds.h"

#include <assert.h>
#include <ck_pr.h>
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"

/* Time over which rounds are counted before they are judged. */
#define WINDOW_US (1 * BB_US_PER_S)
/* A thread is busy if it had at least so many rounds without a wait in a
 * window, and so many times those with one. A thread that loses its core in the
 * middle of a round seems to have waited, so that a few waits do not count. */
#define BUSY_ROUNDS_MIN 1000
#define BUSY_FACTOR 20
/* Busy windows between two log lines. */
#define LOG_WINDOWS 5
/* Sources told apart in a window; further ones are not counted. */
#define SOURCES_MAX 16
/* A poll that takes less time did not wait: a descriptor was ready. */
#define WAIT_MIN_US 100

const char *const bb_thread_string[] = { "control", "traffic", "accept" };

static_assert(sizeof(bb_thread_string) / sizeof(*bb_thread_string) ==
		      BB_THREAD_COUNT,
	      "bb_thread_string must have a name for each thread");

/* How often a source was handled in the current window. */
struct source_count {
	const char *source;
	uint64_t handled;
};

/**
 * struct rounds - rounds of one loop.
 * @waited: number of rounds that waited; atomic
 * @unwaited: number of rounds that did not; atomic
 * @busy_us: time in busy windows; atomic
 * @window_began_us: begin of the current window, 0 before the first round
 * @window_waited: as @waited, in the current window
 * @window_unwaited: as @unwaited, in the current window
 * @busy_windows: number of consecutive busy windows up to now
 * @sources: what the current window handled
 * @sources_nr: number of @sources
 */
struct rounds {
	uint64_t waited;
	uint64_t unwaited;
	uint64_t busy_us;
	int64_t window_began_us;
	uint64_t window_waited;
	uint64_t window_unwaited;
	unsigned int busy_windows;
	struct source_count sources[SOURCES_MAX];
	size_t sources_nr;
};

static struct rounds threads[BB_THREAD_COUNT];
static __thread struct rounds *own;

static void begin_window(struct rounds *r, int64_t now_us)
{
	r->window_began_us = now_us;
	r->window_waited = 0;
	r->window_unwaited = 0;
	r->sources_nr = 0;
}

void bb_rounds_begin(enum bb_thread thread)
{
	/* The main thread bears the name of the process. */
	if (thread != BB_THREAD_CONTROL)
		pthread_setname_np(pthread_self(), bb_thread_string[thread]);
	own = &threads[thread];
	own->busy_windows = 0;
	begin_window(own, 0);
}

void bb_rounds_note(const char *source)
{
	struct rounds *r = own;
	size_t i = 0;

	if (!r)
		return;
	while (i < r->sources_nr && r->sources[i].source != source)
		i++;
	if (i == SOURCES_MAX)
		return;
	if (i == r->sources_nr)
		r->sources[r->sources_nr++] =
			(struct source_count){ source, 0 };
	r->sources[i].handled++;
}

static const struct source_count *most_handled(const struct rounds *r)
{
	static const struct source_count none = { "-", 0 };
	const struct source_count *most = &none;

	for (size_t i = 0; i < r->sources_nr; i++)
		if (r->sources[i].handled > most->handled)
			most = &r->sources[i];
	return most;
}

static void log_busy(const struct rounds *r, int64_t window_us)
{
	const struct source_count *most = most_handled(r);

	bb_log_event(BB_LOG_MAIN, G_LOG_LEVEL_WARNING, NULL, "busy_thread",
		     "thread=%s window_ms=%" G_GINT64_FORMAT
		     " unwaited=%" G_GUINT64_FORMAT " waited=%" G_GUINT64_FORMAT
		     " source=%s handled=%" G_GUINT64_FORMAT,
		     bb_thread_string[r - threads], window_us / BB_US_PER_MS,
		     r->window_unwaited, r->window_waited, most->source,
		     most->handled);
}

static bool is_busy(const struct rounds *r)
{
	return r->window_unwaited >= BUSY_ROUNDS_MIN &&
	       r->window_unwaited >= BUSY_FACTOR * r->window_waited;
}

static void end_window(struct rounds *r, int64_t now_us)
{
	int64_t window_us = now_us - r->window_began_us;

	if (!is_busy(r)) {
		r->busy_windows = 0;
	} else {
		ck_pr_add_64(&r->busy_us, (uint64_t)window_us);
		if (r->busy_windows++ % LOG_WINDOWS == 0)
			log_busy(r, window_us);
	}
	begin_window(r, now_us);
}

void bb_rounds_end(bool waited, int64_t now_us)
{
	struct rounds *r = own;

	if (!r)
		return;
	if (!r->window_began_us)
		begin_window(r, now_us);
	ck_pr_inc_64(waited ? &r->waited : &r->unwaited);
	if (waited)
		r->window_waited++;
	else
		r->window_unwaited++;
	if (now_us - r->window_began_us >= WINDOW_US)
		end_window(r, now_us);
}

int bb_rounds_poll(struct pollfd *fds, nfds_t nr, int timeout_ms)
{
	int64_t began_us = bb_clock_now_us();
	int rc = poll(fds, nr, timeout_ms);
	int saved = errno;
	int64_t now_us = bb_clock_now_us();

	bb_rounds_end(timeout_ms && now_us - began_us >= WAIT_MIN_US, now_us);
	errno = saved;
	return rc;
}

uint64_t bb_rounds_total(enum bb_thread thread, bool waited)
{
	const struct rounds *r = &threads[thread];

	return ck_pr_load_64(waited ? &r->waited : &r->unwaited);
}

int64_t bb_rounds_busy_us(enum bb_thread thread)
{
	return (int64_t)ck_pr_load_64(&threads[thread].busy_us);
}
