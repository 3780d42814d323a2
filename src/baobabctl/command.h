/* Subcommands of baobabctl and their shared functions. */
#ifndef BAOBABCTL_COMMAND_H
#define BAOBABCTL_COMMAND_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "baobabward/config.h"
#include "baobabward/error.h"
#include "baobabward/publish.h"

/**
 * enum exit_code - exit codes, documented in baobabctl(1).
 * @EXIT_OK: done
 * @EXIT_DIFFERENT: table diff found differences, status found problems, or
 *                  explain found nothing
 * @EXIT_USAGE: wrong arguments
 * @EXIT_INVALID: a table, document, page or key was refused
 * @EXIT_IO: a file could not be read or written
 */
enum exit_code {
	EXIT_OK,
	EXIT_DIFFERENT,
	EXIT_USAGE,
	EXIT_INVALID,
	EXIT_IO,
};

/**
 * struct command - a subcommand.
 * @group: first word
 * @name: second word, NULL if the command has only one
 * @arguments: positional arguments for the usage line
 * @summary: one line of help
 * @run: runs the command, whose last word is argv[0]; returns the exit code
 */
struct command {
	const char *group;
	const char *name;
	const char *arguments;
	const char *summary;
	int (*run)(const struct command *command, int argc, char **argv);
};

int table_check(const struct command *command, int argc, char **argv);
int table_build(const struct command *command, int argc, char **argv);
int table_diff(const struct command *command, int argc, char **argv);
int table_export(const struct command *command, int argc, char **argv);
int keys_new(const struct command *command, int argc, char **argv);
int keys_hash(const struct command *command, int argc, char **argv);
int signing_key_new(const struct command *command, int argc, char **argv);
int curve_key_new(const struct command *command, int argc, char **argv);
int config_show(const struct command *command, int argc, char **argv);
int publish(const struct command *command, int argc, char **argv);
int status(const struct command *command, int argc, char **argv);
int explain(const struct command *command, int argc, char **argv);

/* Set by --json, which each command accepts: results and errors are JSON. */
extern gboolean json_output;

/*
 * Parses the options and checks the number of positional arguments. Returns
 * false and sets rc to the exit code after it printed an error; --help prints
 * the help and exits.
 */
bool parse_options(const struct command *command, const GOptionEntry *entries,
		   int *argc, char ***argv, int positional, int *rc);
/* Prints an error and returns the exit code for its error code. */
int fail(const struct bb_error *err);
/* Prints a JSON object and releases it. */
void print_json(json_t *object);

/* Reads a whole file; the caller frees data with g_free(). */
int read_file(const char *path, char **data, size_t *size,
	      struct bb_error *err);
/*
 * Reads a document, or a table if the name ends with .csv. A table needs a base
 * document, and the result gets the given version.
 */
struct bb_config *read_config(const char *path, const struct bb_config *base,
			      uint64_t version, struct bb_error *err);
/*
 * Reads the published pages in a directory and verifies their signatures. If
 * index is not NULL, it receives the index on success.
 */
struct bb_config *read_publication(const char *directory,
				   const uint8_t *public_key,
				   struct bb_index **index,
				   struct bb_error *err);
/* Writes text to a file, or to standard output if path is NULL. */
int write_text(const char *path, const char *text, struct bb_error *err);

#endif
