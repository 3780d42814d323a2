/*
 * The operators' table: a CSV file with a header, a row for each client account
 * or backend server and a column for each weight or limit. See
 * docs/operators/table.md.
 */
#ifndef BAOBABWARD_TABLE_H
#define BAOBABWARD_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"
#include "baobabward/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Parsed table. */
struct bb_table_sheet;

/**
 * bb_table_sheet_parse() - parse a table.
 * @data: CSV text
 * @size: number of bytes
 * @label: file name for error messages, must outlive the sheet
 * @err: on failure names file, row, column, value and rule; the header is
 *       row 1
 *
 * Return: sheet that the caller frees with bb_table_sheet_delete(), or NULL.
 */
struct bb_table_sheet *bb_table_sheet_parse(const char *data, size_t size,
					    const char *label,
					    struct bb_error *err);

/**
 * bb_table_sheet_delete() - free a sheet.
 * @t: sheet, may be NULL
 */
void bb_table_sheet_delete(struct bb_table_sheet *t);

/**
 * bb_table_sheet_apply() - make a configuration from a table.
 * @t: sheet with all client accounts and backend servers
 * @base: configuration from which everything else is copied
 * @version: version of the result
 * @err: filled in on failure
 *
 * Return: snapshot owned by the caller, or NULL.
 */
struct bb_config *bb_table_sheet_apply(const struct bb_table_sheet *t,
				       const struct bb_config *base,
				       uint64_t version, struct bb_error *err);

/**
 * bb_table_from_config() - write client accounts and backend servers as CSV.
 * @c: configuration
 *
 * Return: text that the caller frees with g_free(); parsing and applying it
 *         gives the same rows.
 */
char *bb_table_from_config(const struct bb_config *c);

/**
 * struct bb_config_change - a difference between two configurations.
 * @table: name of the table, "document" for settings
 * @row: name of the row, NULL for settings
 * @column: name of the column, NULL when the whole row was added or removed
 * @before: value as JSON text, NULL for an added row
 * @after: value as JSON text, NULL for a removed row
 */
struct bb_config_change {
	const char *table;
	const char *row;
	const char *column;
	const char *before;
	const char *after;
};

/**
 * bb_config_change_fn - called for each difference.
 * @context: of the caller
 * @change: the difference, valid during the call
 */
typedef void bb_config_change_fn(void *context,
				 const struct bb_config_change *change);

/**
 * bb_config_diff() - list the differences except that of the version.
 * @before: configuration
 * @after: configuration
 * @fn: called for each difference
 * @context: passed to @fn
 *
 * Rows are matched by name; their order is ignored.
 *
 * Return: number of differences.
 */
size_t bb_config_diff(const struct bb_config *before,
		      const struct bb_config *after, bb_config_change_fn *fn,
		      void *context);

#ifdef __cplusplus
}
#endif
#endif
