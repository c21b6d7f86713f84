import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

/** Functions and methods that other modules may call. */
const PUBLIC_CALLABLES = [
    "ExportNamedDeclaration > FunctionDeclaration",
    "MethodDefinition[kind='method'][key.type='Identifier'][accessibility!='private'][accessibility!='protected']",
];

/** Counts the names that one statement exports. */
function countExports(statement) {
    if (statement.type === "ExportDefaultDeclaration") {
        return 1;
    }
    if (statement.type !== "ExportNamedDeclaration") {
        return 0;
    }
    if (statement.declaration?.type === "VariableDeclaration") {
        return statement.declaration.declarations.length;
    }
    return statement.declaration ? 1 : statement.specifiers.length;
}

const oneExport = {
    meta: { type: "suggestion", schema: [] },
    create(context) {
        return {
            Program(node) {
                const count = node.body.reduce((sum, statement) => sum + countExports(statement), 0);
                if (count > 1) {
                    context.report({ node, message: `Module exports ${count} names; the limit is one.` });
                }
            },
        };
    },
};

export default tseslint.config(
    { ignores: ["dist/", "target/", "node_modules/"] },
    {
        files: ["packages/**/*.ts", "platform/*.ts"],
        extends: [...tseslint.configs.strict],
        languageOptions: { parserOptions: { projectService: true } },
        plugins: { jsdoc, house: { rules: { "one-export": oneExport } } },
        rules: {
            // Entries of JSON objects are removed by name.
            "@typescript-eslint/no-dynamic-delete": "off",
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": ["error", {
                selector: "Literal[raw='null']",
                message: "Use undefined in place of null.",
            }],
            "house/one-export": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                {
                    selector: "interface",
                    format: ["PascalCase"],
                    custom: { regex: "^I[A-Z]", match: false },
                },
            ],
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration", "VariableDeclaration"],
                require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: true },
                checkConstructors: false,
            }],
            "jsdoc/require-param": ["error", { contexts: PUBLIC_CALLABLES }],
            "jsdoc/require-param-description": "error",
            "jsdoc/require-returns": ["error", { contexts: PUBLIC_CALLABLES }],
        },
    },
    {
        files: ["packages/**/mod.ts"],
        rules: { "house/one-export": "off" },
    },
    {
        files: ["packages/**/_*.ts", "platform/_*.ts"],
        rules: { "jsdoc/require-param": "off", "jsdoc/require-returns": "off" },
    },
    {
        files: ["packages/**/*_test.ts", "platform/*_test.ts"],
        rules: { "@typescript-eslint/no-non-null-assertion": "off" },
    },
);
