import tseslint from "typescript-eslint";

export default tseslint.config(
  {
    ignores: [
      "target/**",
      "**/lib/**",
      "**/node_modules/**",
      "**/generated/**",
      "*.js",
    ],
  },
  ...tseslint.configs.strict,
  {
    languageOptions: {
      parserOptions: { projectService: true },
    },
    rules: {
      "@typescript-eslint/switch-exhaustiveness-check": "error",
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/prefer-readonly": "error",
      "@typescript-eslint/consistent-type-imports": "error",
      "no-console": "error",
    },
  },
  {
    // Only platform/ may contain names from the target platform's protocol.
    files: ["packages/**"],
    rules: {
      "no-restricted-syntax": [
        "error",
        {
          selector:
            "Literal[value=/x-jujubeladder-|^kv-|^op\\u002F|^servers\\u002F|_ms=|^bounds\\./i]",
          message: "Names of the platform belong into platform/",
        },
        {
          selector: "TemplateElement[value.raw=/x-jujubeladder-|\\u002Fkv-/i]",
          message: "Names of the platform belong into platform/",
        },
      ],
      "no-restricted-imports": [
        "error",
        { patterns: ["**/platform/*", "@jujubeladder/platform-adapter"] },
      ],
    },
  },
);
