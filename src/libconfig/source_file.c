/* Reads the configuration from a file, which it polls for changes. */
#include <string.h>
#include <sys/stat.h>

#include "source_internal.h"

/* Size limit of the file, in bytes, which bounds the memory of a read. */
#define FILE_SIZE_MAX (64 << 20)

static bool file_changed(struct bb_source *s, const struct stat *st)
{
	const int64_t seen[3] = { st->st_mtim.tv_sec * INT64_C(1000000000) +
					  st->st_mtim.tv_nsec,
				  st->st_size, st->st_ino };

	if (!memcmp(seen, s->file_read, sizeof(seen)))
		return false;
	memcpy(s->file_read, seen, sizeof(seen));
	return true;
}

static void read_file(struct bb_source *s)
{
	struct bb_error err = { 0 };
	struct bb_config *c;
	GError *error = NULL;
	char *data;
	gsize size;

	if (!g_file_get_contents(s->options.path, &data, &size, &error)) {
		s->status.read_failures++;
		g_strlcpy(s->status.reason, error->message,
			  sizeof(s->status.reason));
		g_error_free(error);
		return;
	}
	c = bb_config_parse(data, size, &err);
	g_free(data);
	if (!c) {
		bb_source_refuse(s, 0, &err);
		return;
	}
	if (c->version > s->status.version &&
	    !bb_source_is_stale(s, c->version)) {
		bb_source_accept(s, c);
		return;
	}
	if (bb_source_is_stale(s, c->version))
		s->status.stale_versions++;
	bb_config_delete(c);
}

int64_t bb_source_file_perform(struct bb_source *s, int64_t now_us)
{
	struct stat st;

	if (now_us < s->file_check_at_us)
		return s->file_check_at_us;
	s->file_check_at_us = now_us + s->options.file_period_us;
	if (stat(s->options.path, &st)) {
		s->status.read_failures++;
		g_snprintf(s->status.reason, sizeof(s->status.reason),
			   "cannot read %s", s->options.path);
	} else if (st.st_size > FILE_SIZE_MAX) {
		s->status.read_failures++;
		g_snprintf(s->status.reason, sizeof(s->status.reason),
			   "%s is larger than %d bytes", s->options.path,
			   FILE_SIZE_MAX);
	} else if (file_changed(s, &st)) {
		read_file(s);
	}
	return s->file_check_at_us;
}
