#include "libcore/thread_times.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* proc(5): position of utime and stime among the fields behind the name. */
#define FIELD_UTIME 11
#define FIELD_STIME 12

/**
 * struct thread_time - one thread.
 * @name: its name
 * @ticks: processor time in clock ticks
 */
struct thread_time {
	char name[32];
	uint64_t ticks;
};

/* "ID (NAME) STATE ..."; the name may contain blanks and parentheses. */
static gboolean parse_stat(const char *text, struct thread_time *t)
{
	const char *begin = strchr(text, '(');
	const char *end = strrchr(text, ')');
	gchar **fields;
	gboolean ok;

	if (!begin || !end || end < begin || end[1] != ' ')
		return FALSE;
	g_snprintf(t->name, sizeof(t->name), "%.*s", (int)(end - begin - 1),
		   begin + 1);
	g_strcanon(t->name,
		   "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		   "0123456789.:-_/",
		   '_');
	fields = g_strsplit(end + 2, " ", FIELD_STIME + 2);
	ok = g_strv_length(fields) > FIELD_STIME;
	if (ok)
		t->ticks = g_ascii_strtoull(fields[FIELD_UTIME], NULL, 10) +
			   g_ascii_strtoull(fields[FIELD_STIME], NULL, 10);
	g_strfreev(fields);
	return ok;
}

static gboolean read_thread(const char *id, struct thread_time *t)
{
	char path[64];
	char *text;
	gboolean ok;

	g_snprintf(path, sizeof(path), "/proc/self/task/%s/stat", id);
	/* A thread may have ended since its directory was listed. */
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return FALSE;
	ok = parse_stat(text, t);
	g_free(text);
	return ok;
}

static void add(GArray *threads, const struct thread_time *t)
{
	for (guint i = 0; i < threads->len; i++) {
		struct thread_time *o =
			&g_array_index(threads, struct thread_time, i);

		if (strcmp(o->name, t->name) != 0)
			continue;
		o->ticks += t->ticks;
		return;
	}
	g_array_append_val(threads, *t);
}

void bb_thread_times_print(GString *s)
{
	GDir *d = g_dir_open("/proc/self/task", 0, NULL);
	GArray *threads;
	const char *id;

	if (!d)
		return;
	threads = g_array_new(FALSE, FALSE, sizeof(struct thread_time));
	while ((id = g_dir_read_name(d))) {
		struct thread_time t;

		if (read_thread(id, &t))
			add(threads, &t);
	}
	g_dir_close(d);
	g_string_append(s, "# HELP baobabward_thread_cpu_seconds_total "
			   "Processor time of threads, by name.\n"
			   "# TYPE baobabward_thread_cpu_seconds_total "
			   "counter\n");
	for (guint i = 0; i < threads->len; i++) {
		const struct thread_time *t =
			&g_array_index(threads, struct thread_time, i);

		g_string_append_printf(
			s,
			"baobabward_thread_cpu_seconds_total{thread=\"%s\"} "
			"%.2f\n",
			t->name,
			(double)t->ticks / (double)sysconf(_SC_CLK_TCK));
	}
	g_array_free(threads, TRUE);
}
